#pragma once

#include <peridotward/config/bundle.hpp>

#include <vector>

namespace peridotward {

/// \brief One key range of a plan and the service that serves it.
struct plan_part
{
    key_range range;
    service_index service;
};

/// \brief Disjoint parts that cover the key range of a search, except for
/// keys that no shard serves.
struct query_plan
{
    key_range range; ///< The key range of the search.
    std::vector<plan_part> parts;
    /// Key ranges that no shard serves.
    std::vector<key_range> uncovered_ranges;
};

/// \returns The plan for the key range `range` with the shards of `map`.
[[nodiscard]] query_plan make_plan(const shard_map& map, key_range range);

} // namespace peridotward
