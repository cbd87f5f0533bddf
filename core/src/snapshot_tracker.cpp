#include <peridotward/core/query_plan.hpp>
#include <peridotward/core/snapshot_tracker.hpp>

#include <algorithm>
#include <set>

namespace peridotward {

void snapshot_tracker::observe(
    upstream_index upstream, snapshot_range seen, time_point now)
{
    if (!seen.known())
        return;
    if (seen_.size() <= upstream.position())
        seen_.resize(upstream.position() + 1);
    seen_[upstream.position()] = {seen, now};
}

snapshot_range snapshot_tracker::at(upstream_index upstream) const noexcept
{
    if (upstream.position() >= seen_.size())
        return {};
    return seen_[upstream.position()].snapshots;
}

std::optional<snapshot_id>
snapshot_tracker::choose(const bundle& in_force, const search& wanted) const
{
    std::set<snapshot_id, std::greater<>> candidates;
    for (const auto& sighting : seen_) {
        if (!sighting.snapshots.known())
            continue;
        candidates.insert(sighting.snapshots.newest);
        candidates.insert(sighting.snapshots.oldest);
    }
    std::optional<snapshot_id> best;
    std::uint64_t best_keys = 0;
    for (const auto candidate : candidates) {
        const auto keys = covered_keys(in_force, wanted, candidate);
        if (keys > best_keys) {
            best = candidate;
            best_keys = keys;
        }
    }
    return best;
}

std::uint64_t snapshot_tracker::covered_keys(
    const bundle& in_force, const search& wanted, snapshot_id candidate) const
{
    const auto* map = in_force.map_at(wanted.map, candidate);
    if (map == nullptr)
        return 0;
    std::uint64_t keys = 0;
    for (const auto& part : map->shards) {
        const auto needed = intersect(part.range, wanted.range);
        const auto& replicas = in_force.at(part.service).upstreams;
        const bool served = std::any_of(
            replicas.begin(), replicas.end(), [&](upstream_index replica) {
                return in_force.admits(replica) &&
                       at(replica).contains(candidate);
            });
        if (served)
            keys += needed.size();
    }
    return keys;
}

} // namespace peridotward
