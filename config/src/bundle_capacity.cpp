#include <peridotward/config/bundle_capacity.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace peridotward {

std::uint64_t live_replicas(const bundle& in, service_index index)
{
    const auto& replicas = in.at(index).upstreams;
    return static_cast<std::uint64_t>(std::count_if(
        replicas.begin(), replicas.end(), [&](upstream_index replica) {
            return in.admits(replica);
        }));
}

std::uint64_t slots_of_search(const bundle& in, const search& definition)
{
    const auto* map =
        in.map_at(definition.map, std::numeric_limits<snapshot_id>::max());
    if (map == nullptr)
        return 0;
    std::set<service_index> services;
    for (const auto& shard : map->shards) {
        if (!intersect(shard.range, definition.range).empty())
            services.insert(shard.service);
    }
    std::uint64_t slots = 0;
    for (const auto index : services)
        slots += live_replicas(in, index) * in.at(index).slots;
    return slots;
}

} // namespace peridotward
