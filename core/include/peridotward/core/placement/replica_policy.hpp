#pragma once

#include <peridotward/config/bundle_types.hpp>

#include <concepts>
#include <optional>
#include <span>

namespace peridotward {

/// \brief Requirements of an attempt on the upstream it is sent to.
struct selection_criteria
{
    std::span<const upstream_index> candidates;
    std::span<const upstream_index> tried; ///< Excluded from the selection.
    snapshot_id snapshot = 0;
    bool hedge = false; ///< A hedge is never sent to a cold upstream.
    time_point now;
};

/// \brief Selects the upstream for an attempt.
template<class Policy>
concept replica_policy =
    requires(Policy& policy, const selection_criteria& criteria)
{
    {
        policy.choose(criteria)
        } -> std::same_as<std::optional<upstream_index>>;
};

} // namespace peridotward
