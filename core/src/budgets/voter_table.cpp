#include <peridotward/base/hash.hpp>
#include <peridotward/core/budgets/voter_table.hpp>

#include <algorithm>

namespace peridotward {

namespace {

struct ring_instance
{
    std::uint64_t position = 0;
    instance_index instance;
};

/// Hash rings of the instances of one failure domain and of all others.
struct instance_rings
{
    std::vector<ring_instance> own;
    std::vector<ring_instance> others;
};

struct ranked_candidate
{
    bool other_domain = false; ///< In another failure domain.
    std::uint64_t weight = 0;
    instance_index instance;

    bool operator<(const ranked_candidate& other) const noexcept
    {
        if (other_domain != other.other_domain)
            return !other_domain;
        if (weight != other.weight)
            return weight > other.weight;
        return instance < other.instance;
    }
};

instance_rings rings_of(const bundle& in_force, domain_index domain)
{
    instance_rings rings;
    for (std::uint32_t i = 0; i < in_force.instances.size(); ++i) {
        const auto& instance = in_force.instances[i];
        auto& ring = instance.domain == domain ? rings.own : rings.others;
        ring.push_back({hash_of(instance.id), instance_index{i}});
    }
    const auto by_position = [](const ring_instance& a,
                                const ring_instance& b) {
        return a.position < b.position;
    };
    std::sort(rings.own.begin(), rings.own.end(), by_position);
    std::sort(rings.others.begin(), rings.others.end(), by_position);
    return rings;
}

/// Adds up to `count` successors of `key` on `ring`.
void add_successors(
    const std::vector<ring_instance>& ring,
    std::uint64_t key,
    std::size_t count,
    bool other_domain,
    std::vector<ranked_candidate>& chosen)
{
    const auto first = std::lower_bound(
        ring.begin(),
        ring.end(),
        key,
        [](const ring_instance& candidate, std::uint64_t position) {
            return candidate.position < position;
        });
    auto offset = static_cast<std::size_t>(first - ring.begin());
    for (std::size_t i = 0; i < std::min(count, ring.size()); ++i, ++offset)
        chosen.push_back(
            {other_domain, 0, ring[offset % ring.size()].instance});
}

voter_set choose(
    const bundle& in_force, const upstream& target, const instance_rings& rings)
{
    std::vector<ranked_candidate> chosen;
    const auto key = hash_of(target.id);
    add_successors(rings.own, key, max_voters, false, chosen);
    const auto missing = max_voters - chosen.size();
    add_successors(rings.others, key, missing, true, chosen);
    for (auto& candidate : chosen) {
        const auto& id = in_force.instances[candidate.instance.position()].id;
        candidate.weight = rendezvous_weight(target.id, id);
    }
    std::sort(chosen.begin(), chosen.end());
    voter_set voters;
    for (const auto& candidate : chosen)
        voters.instances[voters.count++] = candidate.instance;
    return voters;
}

} // namespace

std::size_t voter_set::rank_of(instance_index instance) const noexcept
{
    const auto all = ranked();
    const auto found = std::find(all.begin(), all.end(), instance);
    return static_cast<std::size_t>(found - all.begin());
}

resource_id resource_of(const upstream& target) noexcept
{
    return resource_id{hash_of(target.id)};
}

voter_table::voter_table(const bundle& in_force)
{
    std::vector<instance_rings> rings;
    for (std::uint32_t i = 0; i < in_force.domains.size(); ++i)
        rings.push_back(rings_of(in_force, domain_index{i}));
    for (std::uint32_t i = 0; i < in_force.upstreams.size(); ++i) {
        const auto& target = in_force.upstreams[i];
        voters_.push_back(
            choose(in_force, target, rings[target.domain.position()]));
        resources_.push_back(resource_of(target));
        by_id_.push_back({resources_.back(), upstream_index{i}});
    }
    std::sort(
        by_id_.begin(),
        by_id_.end(),
        [](const resource_mapping& a, const resource_mapping& b) {
            return a.id < b.id;
        });
}

const voter_set& voter_table::of(upstream_index upstream) const noexcept
{
    static const voter_set no_voters;
    if (upstream.position() >= voters_.size())
        return no_voters;
    return voters_[upstream.position()];
}

upstream_index voter_table::find(resource_id id) const noexcept
{
    const auto found = std::lower_bound(
        by_id_.begin(),
        by_id_.end(),
        id,
        [](const resource_mapping& mapping, resource_id key) {
            return mapping.id < key;
        });
    if (found == by_id_.end() || found->id != id)
        return {};
    return found->upstream;
}

voter_set voters_of(const bundle& in_force, upstream_index upstream)
{
    if (upstream.position() >= in_force.upstreams.size())
        return {};
    const auto& target = in_force.at(upstream);
    return choose(in_force, target, rings_of(in_force, target.domain));
}

} // namespace peridotward
