#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Limits on the requests that the whole fleet sends to a replica during
/// its cold start.
struct cold_bounds
{
    double rate_factor = 1.5;   ///< Multiple of the configured rate.
    double burst_allowance = 5; ///< Requests above that rate in one second.

    bool operator==(const cold_bounds&) const = default;
};

/// \returns This instance's share of the requests a second that the fleet may
/// send to the cold replica `id`.
///
/// \remarks Where the limit does not divide evenly, the instances with the
/// highest rendezvous weight for this replica send one request more.
[[nodiscard]] std::uint32_t cold_allowance(
    std::string_view id,
    double rate,
    const cold_bounds& bounds,
    std::string_view self,
    std::span<const std::string> instances);

/// \brief Sliding-window counter of the requests to one cold replica.
class cold_window
{
public:
    /// \brief Counts a request if fewer than `allowance` were sent within the
    /// last second.
    ///
    /// \returns Whether the request may be sent.
    [[nodiscard]] bool try_acquire(std::uint32_t allowance, time_point now);

    /// \returns The earliest time at which another request may be sent.
    [[nodiscard]] time_point
    earliest_retry(std::uint32_t allowance, time_point now) const;

private:
    std::deque<time_point> sent_times_;
};

} // namespace peridotward
