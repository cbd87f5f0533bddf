#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/query/snapshot_tracker.hpp>

#include <algorithm>
#include <set>

namespace peridotward {

void snapshot_tracker::observe(
    upstream_index upstream, snapshot_range seen, time_point)
{
    if (!seen.known())
        return;
    if (seen_.size() <= upstream.position())
        seen_.resize(upstream.position() + 1);
    auto& current = seen_[upstream.position()];
    if (current.oldest == seen.oldest && current.newest == seen.newest)
        return;
    current = seen;
    kept_.clear();
}

void snapshot_tracker::rebase(const bundle* before, const bundle& next)
{
    std::vector<snapshot_range> moved(next.upstreams.size());
    if (before != nullptr) {
        const bundle_translation places{*before, next};
        for (std::uint32_t i = 0; i < before->upstreams.size(); ++i) {
            const auto place = places(upstream_index{i});
            if (place.valid())
                moved[place.position()] = at(upstream_index{i});
        }
    }
    seen_ = std::move(moved);
    kept_.clear();
}

snapshot_range snapshot_tracker::at(upstream_index upstream) const noexcept
{
    if (upstream.position() >= seen_.size())
        return {};
    return seen_[upstream.position()];
}

std::optional<snapshot_id>
snapshot_tracker::choose(const bundle& in_force, search_index wanted) const
{
    if (kept_.size() <= wanted.position())
        kept_.resize(wanted.position() + 1);
    auto& kept = kept_[wanted.position()];
    if (!kept.valid || kept.version != in_force.version) {
        kept.snapshot = find_best(in_force, in_force.at(wanted));
        kept.version = in_force.version;
        kept.valid = true;
    }
    return kept.snapshot;
}

std::optional<snapshot_id>
snapshot_tracker::find_best(const bundle& in_force, const search& wanted) const
{
    std::set<snapshot_id, std::greater<>> candidates;
    for (const auto& served : seen_) {
        if (!served.known())
            continue;
        candidates.insert(served.newest);
        candidates.insert(served.oldest);
    }
    std::optional<snapshot_id> best;
    reach best_reach;
    for (const auto candidate : candidates) {
        const auto reached = reach_of(in_force, wanted, candidate);
        if (reached > best_reach) {
            best = candidate;
            best_reach = reached;
        }
    }
    return best;
}

snapshot_tracker::reach snapshot_tracker::reach_of(
    const bundle& in_force, const search& wanted, snapshot_id candidate) const
{
    reach reached;
    const auto* map = in_force.map_at(wanted.map, candidate);
    if (map == nullptr)
        return reached;
    for (const auto& part : map->shards) {
        const auto needed = intersect(part.range, wanted.range);
        const auto& replicas = in_force.at(part.service).upstreams;
        const auto serving = std::count_if(
            replicas.begin(), replicas.end(), [&](upstream_index replica) {
                return in_force.admits(replica) &&
                       at(replica).contains(candidate);
            });
        if (serving > 0)
            reached.keys += needed.size();
        if (serving > 1)
            reached.spare_keys += needed.size();
    }
    return reached;
}

} // namespace peridotward
