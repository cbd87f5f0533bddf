#include <peridotward/core/budgets/domain_shares.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace peridotward {

namespace {

/// Assigns each upstream a part of the limit proportional to its slots. Rounds
/// cumulative sums, so that the shares add up to the limit.
std::vector<std::uint32_t> divide(const bundle& in_force)
{
    const auto domains = in_force.domains.size();
    std::vector<std::uint64_t> domain_slots(domains, 0);
    const auto slots_of_upstream = [&](std::uint32_t i) -> std::uint64_t {
        return in_force.service_of(upstream_index{i}).slots;
    };
    const auto count = static_cast<std::uint32_t>(in_force.upstreams.size());
    for (std::uint32_t i = 0; i < count; ++i)
        domain_slots[in_force.upstreams[i].domain.position()] +=
            slots_of_upstream(i);
    std::vector<std::uint64_t> cumulative(domains, 0);
    std::vector<std::uint32_t> shares(count, domain_shares::unlimited);
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto domain = in_force.upstreams[i].domain.position();
        const std::uint64_t limit = in_force.domains[domain].max_in_flight;
        if (limit == 0)
            continue;
        if (domain_slots[domain] == 0)
            continue;
        const auto before = limit * cumulative[domain] / domain_slots[domain];
        cumulative[domain] += slots_of_upstream(i);
        const auto after = limit * cumulative[domain] / domain_slots[domain];
        shares[i] = static_cast<std::uint32_t>(after - before);
    }
    return shares;
}

} // namespace

void domain_shares::on_bundle(
    const bundle& in_force,
    const bundle* older,
    time_point now,
    duration settle_time)
{
    const auto before = now < settled_at_ ? interim_shares_ : shares_;
    shares_ = divide(in_force);
    interim_shares_ = shares_;
    settled_at_ = now + settle_time;
    if (older == nullptr)
        return;
    std::unordered_map<std::string_view, std::uint32_t> older_shares;
    for (std::uint32_t i = 0; i < older->upstreams.size(); ++i)
        older_shares.emplace(older->upstreams[i].id, before[i]);
    for (std::uint32_t i = 0; i < shares_.size(); ++i) {
        const auto found = older_shares.find(in_force.upstreams[i].id);
        const bool added = found == older_shares.end();
        if (added && shares_[i] == unlimited)
            continue;
        // A new upstream's share was part of the others' shares before.
        const auto previous = added ? 0 : found->second;
        interim_shares_[i] = std::min(shares_[i], previous);
    }
}

std::uint32_t
domain_shares::of(upstream_index upstream, time_point now) const noexcept
{
    const auto& current = now < settled_at_ ? interim_shares_ : shares_;
    if (upstream.position() >= current.size())
        return 0;
    return current[upstream.position()];
}

} // namespace peridotward
