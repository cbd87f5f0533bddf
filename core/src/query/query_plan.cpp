#include <peridotward/base/range_set.hpp>
#include <peridotward/core/query/query_plan.hpp>

namespace peridotward {

query_plan make_plan(const shard_map& map, key_range range)
{
    query_plan plan;
    plan.range = range;
    range_set covered;
    for (const auto& part : map.shards) {
        const auto needed = intersect(part.range, range);
        if (covered.add(needed))
            plan.parts.push_back({needed, part.service});
    }
    plan.uncovered_ranges = covered.missing(range);
    return plan;
}

} // namespace peridotward
