#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>
#include <deque>

namespace peridotward {

/// \brief Sliding-window counter of the requests to one replica.
class request_window
{
public:
    explicit request_window(duration span) noexcept : span_{span} {}

    /// \brief Counts a request if fewer than `allowance` were sent within the
    /// span.
    ///
    /// \returns Whether the request may be sent.
    [[nodiscard]] bool try_acquire(std::uint32_t allowance, time_point now);

    /// \brief Removes a request that was counted at `acquired_at` and not sent.
    void release(time_point acquired_at) noexcept;

    /// \returns The requests within the last `span` before `now`, at most the
    /// span of the window.
    [[nodiscard]] std::uint32_t
    count(duration span, time_point now) const noexcept;

    /// \returns The earliest time at which another request may be sent.
    [[nodiscard]] time_point
    earliest_retry(std::uint32_t allowance, time_point now) const;

private:
    duration span_;
    std::deque<time_point> sent_times_;
};

} // namespace peridotward
