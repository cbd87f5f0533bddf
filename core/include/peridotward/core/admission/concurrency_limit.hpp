#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace peridotward {

/// \brief Finds how many queries at once the upstreams bear.
///
/// \remarks Grows by one for each `limit` queries that ended without pressure
/// while the limit was in use, and shrinks by a tenth to a half when upstreams
/// or their owners let too many parts stall, at most once for each generation
/// of queries. Source: Chiu, Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance", 1989.
class concurrency_limit
{
public:
    static constexpr double first_limit = 16;
    static constexpr double least_limit = 2;
    static constexpr double greatest_limit = 4096;
    /// \brief Share of stalled parts in one query that means pressure.
    static constexpr double tolerated_stalls = 0.2;

    /// \brief Notes the end of a query that started at `started`; `stalled`
    /// is the share of its parts that met no free slot, in [0, 1].
    void on_finished(
        time_point started,
        double stalled,
        std::uint32_t running,
        time_point now) noexcept
    {
        stalled_ += (stalled - stalled_) / memory;
        if (stalled_ > tolerated_stalls) {
            // Queries that started before the last decrease tell nothing new.
            if (started >= last_decrease_) {
                const auto kept =
                    std::clamp(1 - stalled_ / 2, least_kept, greatest_kept);
                limit_ = std::max(least_limit, limit_ * kept);
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
    static constexpr double least_kept = 0.5;
    static constexpr double greatest_kept = 0.9;
    static constexpr double memory = 8; // queries

    double limit_ = first_limit;
    double stalled_ = 0; ///< Moving average.
    time_point last_decrease_{};
};

} // namespace peridotward
