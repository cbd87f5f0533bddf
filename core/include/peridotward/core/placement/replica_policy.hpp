#pragma once

#include <peridotward/config/bundle_types.hpp>

#include <concepts>
#include <optional>
#include <span>

namespace peridotward {

/// \brief What an attempt asks of the upstream it goes to.
struct selection_criteria
{
    std::span<const upstream_index> candidates;
    std::span<const upstream_index> tried; ///< Not to be chosen again.
    snapshot_id snapshot = 0;
    bool hedge = false; ///< Never to a cold upstream.
    time_point now;
};

/// \brief Picks the upstream for an attempt.
template<class Policy>
concept replica_policy =
    requires(Policy& policy, const selection_criteria& wish)
{
    {
        policy.choose(wish)
        } -> std::same_as<std::optional<upstream_index>>;
};

} // namespace peridotward
