#pragma once

#include <peridotward/core/gather/latency_profile.hpp>
#include <peridotward/core/gather/request_deadlines.hpp>
#include <peridotward/core/routing/forward_config.hpp>

namespace peridotward {

/// \brief Times of an instance's orderly shutdown, and the requests that still
/// fit into it.
///
/// \remarks The platform ends the process at the end of the grace time. Every
/// request that was taken is answered before; one that might last longer is
/// refused when it arrives, so that its caller can use another instance at
/// once. Sans-IO.
class shutdown_schedule
{
public:
    /// Time from the begin of the shutdown to the closing of idle connections;
    /// callers have fetched a new directory answer by then.
    static constexpr milliseconds idle_close_delay{3300};
    /// Part of the grace time that is reserved for sending the last answers and
    /// for the exit of the process.
    static constexpr milliseconds answer_reserve{400};
    /// Part of the grace time that is reserved for the exit of the process.
    static constexpr milliseconds exit_reserve{200};
    /// Time that a request which may be repeated is expected to take at most,
    /// as a multiple of the route's delay before a hedge: few answers take as
    /// long as that delay, and the slowest replicas a few times as long.
    static constexpr int expected_time_factor = 4;

    /// \param grace From the begin of the shutdown to the forced end of the
    /// process.
    shutdown_schedule(time_point begin, duration grace) noexcept;

    /// \returns When idle connections are closed and no new ones are accepted.
    [[nodiscard]] time_point close_idle_at() const noexcept
    {
        return close_idle_at_;
    }
    /// \returns When all requests are answered.
    [[nodiscard]] time_point answer_by() const noexcept { return answer_by_; }
    /// \returns When the process exits, also if callers have not taken their
    /// answers.
    [[nodiscard]] time_point exit_by() const noexcept { return exit_by_; }

    /// \returns Whether a request that arrives now can be taken. A request that
    /// may run only once must be able to use all of its time; one that may be
    /// repeated must be expected to end before `answer_by`.
    /// \param profile Latencies of the route's requests.
    [[nodiscard]] bool fits(
        const forward_times& times,
        retry_safety safety,
        const latency_profile& profile,
        time_point now) const noexcept;

    /// \returns `times` with no deadline after `answer_by`.
    [[nodiscard]] forward_times limit(forward_times times) const noexcept;

private:
    time_point close_idle_at_;
    time_point answer_by_;
    time_point exit_by_;
};

} // namespace peridotward
