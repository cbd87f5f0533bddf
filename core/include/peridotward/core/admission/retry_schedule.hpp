#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>
#include <map>

namespace peridotward {

/// \brief Assigns retry times to refused callers, so that they do not all
/// retry at once.
///
/// \remarks Spreads the load after an outage or a burst. Each refused caller
/// gets a retry time of its own; their rate is the recent rate of served
/// requests less the part reserved for new callers. More urgent callers retry
/// first: only callers of the same or a higher urgency delay them. Sans-IO; the
/// services that share upstreams share one schedule.
class retry_schedule
{
public:
    /// Share of the recent rate of served requests that retries may use.
    static constexpr double retry_share = 0.5;
    /// Lower bound for the rate of served requests, in requests a second.
    /// Applies at the start and while nothing is served; equals one instance's
    /// part of a slow service.
    static constexpr double min_rate = 20;
    /// Time constants of the exponential decay of the rate; the higher rate
    /// counts. The short one follows the rate of a process that has just
    /// started, or that a burst reaches after an idle time.
    static constexpr milliseconds rate_time_constant{5000};
    static constexpr milliseconds burst_time_constant{500};
    /// Maximum wait given to a caller; callers give up after longer waits.
    static constexpr seconds max_wait{5};

    /// \brief Records a served request.
    void on_served(time_point now) noexcept;

    /// \brief Reserves a retry time for a refused request.
    /// \param priority Priority of the request; 0 is the most urgent.
    /// \param earliest_retry Estimate of when the request could be served.
    /// \returns The wait until its caller should retry, counted from `now`.
    [[nodiscard]] milliseconds
    reserve(std::int32_t priority, time_point earliest_retry, time_point now);

    /// \returns The recent rate of served requests, in requests a second.
    [[nodiscard]] double rate(time_point now) const noexcept;

private:
    double rate_ = 0;
    double burst_rate_ = 0;
    time_point rate_at_;
    /// By priority: the next retry time to assign.
    std::map<std::int32_t, time_point> next_;
};

} // namespace peridotward
