#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace peridotward {

/// \brief Adaptive limit on the number of concurrent queries (AIMD).
///
/// \remarks Increases by one for each `limit` queries that finish without
/// pressure while the limit is reached. Decreases by a tenth to a half when
/// upstreams or their owners stall too many parts, at most once for each
/// generation of queries. Source: Chiu, Jain, "Analysis of the increase and
/// decrease algorithms for congestion avoidance", 1989.
class concurrency_limit
{
public:
    static constexpr double initial_limit = 16;
    static constexpr double min_limit = 2;
    static constexpr double max_limit = 4096;
    /// \brief Mean share of stalled parts above which the limit decreases.
    static constexpr double max_stalled_share = 0.2;

    /// \brief Updates the limit at the end of a query.
    ///
    /// \param started When the query was started.
    /// \param stalled_share Share of its parts, 0 to 1, without a free
    /// slot.
    /// \param running Queries that are still running.
    void on_finished(
        time_point started,
        double stalled_share,
        std::uint32_t running,
        time_point now) noexcept
    {
        mean_stalled_share_ +=
            (stalled_share - mean_stalled_share_) / averaging_window;
        if (mean_stalled_share_ > max_stalled_share) {
            // Queries that started before the last decrease saw the old limit.
            if (started >= last_decrease_) {
                const auto factor = std::clamp(
                    1 - mean_stalled_share_ / 2,
                    min_decrease_factor,
                    max_decrease_factor);
                limit_ = std::max(min_limit, limit_ * factor);
                last_decrease_ = now;
            }
            return;
        }
        if (running + 1 >= allowed())
            limit_ = std::min(max_limit, limit_ + 1 / limit_);
    }

    /// \returns The maximum number of concurrent queries.
    [[nodiscard]] std::uint32_t allowed() const noexcept
    {
        return static_cast<std::uint32_t>(limit_);
    }

private:
    static constexpr double min_decrease_factor = 0.5;
    static constexpr double max_decrease_factor = 0.9;
    static constexpr double averaging_window = 8; // queries

    double limit_ = initial_limit;
    double mean_stalled_share_ = 0; ///< Moving average.
    time_point last_decrease_{};
};

} // namespace peridotward
