#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/query/snapshot_tracker.hpp>

#include <algorithm>
#include <set>

namespace peridotward {

void snapshot_tracker::observe(
    upstream_index upstream, snapshot_range reported, time_point)
{
    if (!reported.known())
        return;
    if (reported_.size() <= upstream.position())
        reported_.resize(upstream.position() + 1);
    auto& current = reported_[upstream.position()];
    if (current.oldest == reported.oldest && current.newest == reported.newest)
        return;
    current = reported;
    cached_.clear();
}

void snapshot_tracker::rebase(const bundle* previous, const bundle& next)
{
    std::vector<snapshot_range> moved(next.upstreams.size());
    if (previous != nullptr) {
        const bundle_translation translate{*previous, next};
        for (std::uint32_t i = 0; i < previous->upstreams.size(); ++i) {
            const auto index = translate(upstream_index{i});
            if (index.valid())
                moved[index.position()] = at(upstream_index{i});
        }
    }
    reported_ = std::move(moved);
    cached_.clear();
}

snapshot_range snapshot_tracker::at(upstream_index upstream) const noexcept
{
    if (upstream.position() >= reported_.size())
        return {};
    return reported_[upstream.position()];
}

std::optional<snapshot_id>
snapshot_tracker::choose(const bundle& in_force, search_index index) const
{
    if (cached_.size() <= index.position())
        cached_.resize(index.position() + 1);
    auto& cached = cached_[index.position()];
    if (!cached.valid || cached.version != in_force.version) {
        cached.snapshot = find_best(in_force, in_force.at(index));
        cached.version = in_force.version;
        cached.valid = true;
    }
    return cached.snapshot;
}

std::optional<snapshot_id> snapshot_tracker::find_best(
    const bundle& in_force, const search& definition) const
{
    std::set<snapshot_id, std::greater<>> candidates;
    for (const auto& served : reported_) {
        if (!served.known())
            continue;
        candidates.insert(served.newest);
        candidates.insert(served.oldest);
    }
    std::optional<snapshot_id> best;
    snapshot_coverage best_coverage;
    for (const auto candidate : candidates) {
        const auto covered = coverage_of(in_force, definition, candidate);
        if (covered > best_coverage) {
            best = candidate;
            best_coverage = covered;
        }
    }
    return best;
}

snapshot_tracker::snapshot_coverage snapshot_tracker::coverage_of(
    const bundle& in_force,
    const search& definition,
    snapshot_id candidate) const
{
    snapshot_coverage covered;
    const auto* map = in_force.map_at(definition.map, candidate);
    if (map == nullptr)
        return covered;
    for (const auto& part : map->shards) {
        const auto needed = intersect(part.range, definition.range);
        const auto& replicas = in_force.at(part.service).upstreams;
        const auto serving = std::count_if(
            replicas.begin(), replicas.end(), [&](upstream_index replica) {
                return in_force.admits(replica) &&
                       at(replica).contains(candidate);
            });
        if (serving > 0)
            covered.keys += needed.size();
        if (serving > 1)
            covered.redundant_keys += needed.size();
    }
    return covered;
}

} // namespace peridotward
