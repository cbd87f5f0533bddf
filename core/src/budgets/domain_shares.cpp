#include <peridotward/core/budgets/domain_shares.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace peridotward {

namespace {

/// Gives each upstream the part of the limit that its slots add to the sum.
std::vector<std::uint32_t> divide(const bundle& in_force)
{
    const auto domains = in_force.domains.size();
    std::vector<std::uint64_t> total(domains, 0);
    const auto slots_of = [&](std::uint32_t i) -> std::uint64_t {
        return in_force.service_of(upstream_index{i}).slots;
    };
    const auto count = static_cast<std::uint32_t>(in_force.upstreams.size());
    for (std::uint32_t i = 0; i < count; ++i)
        total[in_force.upstreams[i].domain.position()] += slots_of(i);
    std::vector<std::uint64_t> so_far(domains, 0);
    std::vector<std::uint32_t> shares(count, domain_shares::unlimited);
    for (std::uint32_t i = 0; i < count; ++i) {
        const auto domain = in_force.upstreams[i].domain.position();
        const std::uint64_t limit = in_force.domains[domain].max_in_flight;
        if (limit == 0)
            continue;
        if (total[domain] == 0)
            continue;
        const auto before = limit * so_far[domain] / total[domain];
        so_far[domain] += slots_of(i);
        const auto after = limit * so_far[domain] / total[domain];
        shares[i] = static_cast<std::uint32_t>(after - before);
    }
    return shares;
}

} // namespace

void domain_shares::on_bundle(
    const bundle& in_force,
    const bundle* older,
    time_point now,
    duration settle)
{
    const auto before = now < settled_ ? lowered_ : shares_;
    shares_ = divide(in_force);
    lowered_ = shares_;
    settled_ = now + settle;
    if (older == nullptr)
        return;
    std::unordered_map<std::string_view, std::uint32_t> known;
    for (std::uint32_t i = 0; i < older->upstreams.size(); ++i)
        known.emplace(older->upstreams[i].id, before[i]);
    for (std::uint32_t i = 0; i < shares_.size(); ++i) {
        const auto found = known.find(in_force.upstreams[i].id);
        const bool added = found == known.end();
        if (added && shares_[i] == unlimited)
            continue;
        // What a new upstream gets was part of the others' shares until now.
        const auto had = added ? 0 : found->second;
        lowered_[i] = std::min(shares_[i], had);
    }
}

std::uint32_t
domain_shares::of(upstream_index upstream, time_point now) const noexcept
{
    const auto& in_use = now < settled_ ? lowered_ : shares_;
    if (upstream.position() >= in_use.size())
        return 0;
    return in_use[upstream.position()];
}

} // namespace peridotward
