#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace peridotward {

/// \brief Finds how many queries at once the upstreams bear.
///
/// \remarks Grows by one for each `limit` queries that ended without pressure
/// while the limit was in use, and shrinks by a tenth when upstreams or their
/// owners refused too many attempts, at most once for each generation of
/// queries. Source: Chiu, Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance", 1989.
class concurrency_limit
{
public:
    static constexpr double first_limit = 32;
    static constexpr double least_limit = 2;
    static constexpr double greatest_limit = 4096;
    /// \brief Share of refused attempts in one query that means pressure.
    static constexpr double tolerated_refusals = 0.05;

    /// \brief Notes the end of a query that started at `started`; `refused`
    /// is the share of its attempts that met no free slot, in [0, 1].
    void on_finished(
        time_point started,
        double refused,
        std::uint32_t running,
        time_point now) noexcept
    {
        if (refused > tolerated_refusals) {
            // Queries that started before the last decrease tell nothing new.
            if (started >= last_decrease_) {
                limit_ = std::max(least_limit, limit_ * decrease);
                last_decrease_ = now;
            }
            return;
        }
        if (running + 1 >= allowed())
            limit_ = std::min(greatest_limit, limit_ + 1 / limit_);
    }

    /// \returns The queries that may run at once.
    [[nodiscard]] std::uint32_t allowed() const noexcept
    {
        return static_cast<std::uint32_t>(limit_);
    }

private:
    static constexpr double decrease = 0.9;

    double limit_ = first_limit;
    time_point last_decrease_{};
};

} // namespace peridotward
