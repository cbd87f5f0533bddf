#pragma once

#include <peridotward/config/bundle.hpp>

#include <vector>

namespace peridotward {

/// \brief One range of a plan and the service that serves it.
struct plan_part
{
    key_range range;
    service_index service;
};

/// \brief Disjoint ranges that cover a search as far as shards do.
struct query_plan
{
    key_range whole; ///< The range of the search.
    std::vector<plan_part> parts;
    std::vector<key_range> holes; ///< Ranges that no shard serves.
};

/// \returns The plan for `range` under `map`.
[[nodiscard]] query_plan make_plan(const shard_map& map, key_range range);

} // namespace peridotward
