#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/placement/replica_policy.hpp>

#include <algorithm>
#include <optional>
#include <span>

namespace peridotward {

/// \brief Selects at random among the admitted upstreams that were not tried.
///
/// \remarks Baseline for the comparison of selection policies.
class random_selector
{
public:
    random_selector(const bundle& in_force, random_source& random) noexcept
        : in_force_{&in_force}, random_{&random}
    {}

    [[nodiscard]] std::optional<upstream_index>
    choose(const selection_criteria& criteria)
    {
        return choose(criteria.candidates, criteria.tried, criteria.now);
    }

    [[nodiscard]] std::optional<upstream_index> choose(
        std::span<const upstream_index> candidates,
        std::span<const upstream_index> tried,
        time_point)
    {
        std::optional<upstream_index> chosen;
        std::uint64_t usable_count = 0;
        for (const auto candidate : candidates) {
            const bool usable =
                in_force_->admits(candidate) &&
                std::find(tried.begin(), tried.end(), candidate) == tried.end();
            if (usable && random_->below(++usable_count) == 0)
                chosen = candidate;
        }
        return chosen;
    }

private:
    const bundle* in_force_;
    random_source* random_;
};

} // namespace peridotward
