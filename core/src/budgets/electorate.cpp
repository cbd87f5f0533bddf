#include <peridotward/base/hash.hpp>
#include <peridotward/core/budgets/electorate.hpp>

#include <algorithm>

namespace peridotward {

namespace {

struct ring_instance
{
    std::uint64_t position = 0;
    instance_index instance;
};

/// The seats of one failure domain, and those of all others, by hash.
struct instance_rings
{
    std::vector<ring_instance> own;
    std::vector<ring_instance> others;
};

struct ranked_instance
{
    bool foreign = false; ///< In another failure domain.
    std::uint64_t weight = 0;
    instance_index instance;

    bool operator<(const ranked_instance& other) const noexcept
    {
        if (foreign != other.foreign)
            return !foreign;
        if (weight != other.weight)
            return weight > other.weight;
        return instance < other.instance;
    }
};

instance_rings rings_of(const bundle& in_force, domain_index domain)
{
    instance_rings rings;
    for (std::uint32_t i = 0; i < in_force.instances.size(); ++i) {
        const auto& placed = in_force.instances[i];
        auto& ring = placed.domain == domain ? rings.own : rings.others;
        ring.push_back({hash_of(placed.id), instance_index{i}});
    }
    const auto by_position = [](const ring_instance& a,
                                const ring_instance& b) {
        return a.position < b.position;
    };
    std::sort(rings.own.begin(), rings.own.end(), by_position);
    std::sort(rings.others.begin(), rings.others.end(), by_position);
    return rings;
}

/// Adds up to `wanted` successors of `key` on `ring`.
void add_successors(
    const std::vector<ring_instance>& ring,
    std::uint64_t key,
    std::size_t wanted,
    bool foreign,
    std::vector<ranked_instance>& chosen)
{
    const auto first = std::lower_bound(
        ring.begin(),
        ring.end(),
        key,
        [](const ring_instance& entry, std::uint64_t position) {
            return entry.position < position;
        });
    auto at = static_cast<std::size_t>(first - ring.begin());
    for (std::size_t i = 0; i < std::min(wanted, ring.size()); ++i, ++at)
        chosen.push_back({foreign, 0, ring[at % ring.size()].instance});
}

voter_list choose(
    const bundle& in_force, const upstream& named, const instance_rings& rings)
{
    std::vector<ranked_instance> chosen;
    const auto key = hash_of(named.id);
    add_successors(rings.own, key, max_voters, false, chosen);
    const auto missing = max_voters - chosen.size();
    add_successors(rings.others, key, missing, true, chosen);
    for (auto& entry : chosen) {
        const auto& id = in_force.instances[entry.instance.position()].id;
        entry.weight = rendezvous_weight(named.id, id);
    }
    std::sort(chosen.begin(), chosen.end());
    voter_list voters;
    for (const auto& entry : chosen)
        voters.instances[voters.count++] = entry.instance;
    return voters;
}

} // namespace

std::size_t voter_list::rank_of(instance_index instance) const noexcept
{
    const auto all = ranked();
    const auto found = std::find(all.begin(), all.end(), instance);
    return static_cast<std::size_t>(found - all.begin());
}

resource_id resource_of(const upstream& named) noexcept
{
    return resource_id{hash_of(named.id)};
}

electorate::electorate(const bundle& in_force)
{
    std::vector<instance_rings> rings;
    for (std::uint32_t i = 0; i < in_force.domains.size(); ++i)
        rings.push_back(rings_of(in_force, domain_index{i}));
    for (std::uint32_t i = 0; i < in_force.upstreams.size(); ++i) {
        const auto& named = in_force.upstreams[i];
        voters_.push_back(
            choose(in_force, named, rings[named.domain.position()]));
        resources_.push_back(resource_of(named));
        by_id_.push_back({resources_.back(), upstream_index{i}});
    }
    std::sort(
        by_id_.begin(),
        by_id_.end(),
        [](const named_upstream& a, const named_upstream& b) {
            return a.id < b.id;
        });
}

const voter_list& electorate::of(upstream_index upstream) const noexcept
{
    static const voter_list nobody;
    if (upstream.position() >= voters_.size())
        return nobody;
    return voters_[upstream.position()];
}

upstream_index electorate::find(resource_id id) const noexcept
{
    const auto found = std::lower_bound(
        by_id_.begin(),
        by_id_.end(),
        id,
        [](const named_upstream& entry, resource_id wanted) {
            return entry.id < wanted;
        });
    if (found == by_id_.end() || found->id != id)
        return {};
    return found->upstream;
}

voter_list voters_of(const bundle& in_force, upstream_index upstream)
{
    if (upstream.position() >= in_force.upstreams.size())
        return {};
    const auto& named = in_force.at(upstream);
    return choose(in_force, named, rings_of(in_force, named.domain));
}

} // namespace peridotward
