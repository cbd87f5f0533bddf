#include <peridotward/base/hash.hpp>
#include <peridotward/core/budgets/voter_table.hpp>

#include <algorithm>

namespace peridotward {

namespace {

struct ring_seat
{
    std::uint64_t position = 0;
    seat_index seat;
};

/// The seats of one failure domain, and those of all others, by hash.
struct seat_rings
{
    std::vector<ring_seat> own;
    std::vector<ring_seat> others;
};

struct ranked_seat
{
    bool foreign = false; ///< In another failure domain.
    std::uint64_t weight = 0;
    seat_index seat;

    bool operator<(const ranked_seat& other) const noexcept
    {
        if (foreign != other.foreign)
            return !foreign;
        if (weight != other.weight)
            return weight > other.weight;
        return seat < other.seat;
    }
};

seat_rings rings_of(const bundle& in_force, domain_index domain)
{
    seat_rings rings;
    for (std::uint32_t i = 0; i < in_force.seats.size(); ++i) {
        const auto& placed = in_force.seats[i];
        auto& ring = placed.domain == domain ? rings.own : rings.others;
        ring.push_back({hash_of(placed.id), seat_index{i}});
    }
    const auto by_position = [](const ring_seat& a, const ring_seat& b) {
        return a.position < b.position;
    };
    std::sort(rings.own.begin(), rings.own.end(), by_position);
    std::sort(rings.others.begin(), rings.others.end(), by_position);
    return rings;
}

/// Adds up to `wanted` successors of `key` on `ring`.
void add_successors(
    const std::vector<ring_seat>& ring,
    std::uint64_t key,
    std::size_t wanted,
    bool foreign,
    std::vector<ranked_seat>& chosen)
{
    const auto first = std::lower_bound(
        ring.begin(),
        ring.end(),
        key,
        [](const ring_seat& entry, std::uint64_t position) {
            return entry.position < position;
        });
    auto at = static_cast<std::size_t>(first - ring.begin());
    for (std::size_t i = 0; i < std::min(wanted, ring.size()); ++i, ++at)
        chosen.push_back({foreign, 0, ring[at % ring.size()].seat});
}

voter_set
choose(const bundle& in_force, const upstream& named, const seat_rings& rings)
{
    std::vector<ranked_seat> chosen;
    const auto key = hash_of(named.id);
    add_successors(rings.own, key, max_voters, false, chosen);
    const auto missing = max_voters - chosen.size();
    add_successors(rings.others, key, missing, true, chosen);
    for (auto& entry : chosen) {
        const auto& id = in_force.seats[entry.seat.position()].id;
        entry.weight = rendezvous_weight(named.id, id);
    }
    std::sort(chosen.begin(), chosen.end());
    voter_set voters;
    for (const auto& entry : chosen)
        voters.seats[voters.count++] = entry.seat;
    return voters;
}

} // namespace

std::size_t voter_set::rank_of(seat_index seat) const noexcept
{
    const auto all = ranked();
    const auto found = std::find(all.begin(), all.end(), seat);
    return static_cast<std::size_t>(found - all.begin());
}

resource_id resource_of(const upstream& named) noexcept
{
    return resource_id{hash_of(named.id)};
}

voter_table::voter_table(const bundle& in_force)
{
    std::vector<seat_rings> rings;
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

const voter_set& voter_table::of(upstream_index upstream) const noexcept
{
    static const voter_set nobody;
    if (upstream.position() >= voters_.size())
        return nobody;
    return voters_[upstream.position()];
}

upstream_index voter_table::find(resource_id id) const noexcept
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

voter_set voters_of(const bundle& in_force, upstream_index upstream)
{
    if (upstream.position() >= in_force.upstreams.size())
        return {};
    const auto& named = in_force.at(upstream);
    return choose(in_force, named, rings_of(in_force, named.domain));
}

} // namespace peridotward
