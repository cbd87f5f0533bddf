#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>
#include <map>

namespace peridotward {

/// \brief Tells refused callers when to come back, so that they do not all
/// return at once.
///
/// \remarks Answers the load after an outage or a burst: each refused caller
/// gets a place in time of its own, at the rate that was served lately less
/// what new callers need. More urgent callers come first: they wait only for
/// those that are as urgent. Sans-IO; one plan for the services that share
/// upstreams.
class retry_schedule
{
public:
    /// Share of the rate served lately that returning callers may take.
    static constexpr double retry_share = 0.5;
    /// Requests a second that are taken to be served before anything is known
    /// or while nothing is: an instance's part of a slow service.
    static constexpr double min_rate = 20;
    /// Time over which the rate is measured.
    static constexpr seconds rate_time_constant{5};
    /// Longest time that a caller is told to wait; callers give up before.
    static constexpr seconds max_wait{5};

    /// \brief Notes a request that was served.
    void on_served(time_point now) noexcept;

    /// \param priority Of the refused request; 0 is the most urgent.
    /// \param chance When it could be served, as far as is known.
    /// \returns When its caller is to come back, counted from `now`.
    [[nodiscard]] milliseconds
    reserve(std::int32_t priority, time_point chance, time_point now);

    /// \returns Requests a second that were served lately.
    [[nodiscard]] double rate(time_point now) const noexcept;

private:
    double rate_ = 0;
    time_point rate_at_;
    /// By priority: the first time that is not given away.
    std::map<std::int32_t, time_point> next_;
};

} // namespace peridotward
