#include <peridotward/core/placement/adaptive_selector.hpp>

#include <algorithm>
#include <array>

namespace peridotward {

namespace {

constexpr std::uint64_t cold_trial_interval = 16; // choices
constexpr seconds latency_lifetime{2};
constexpr seconds phase_lifetime{5};
constexpr milliseconds full_lifetime{2};
constexpr double own_domain_factor = 0.9;
constexpr double unknown_latency_us = 1000;

double in_microseconds(duration value)
{
    return std::chrono::duration<double, std::micro>{value}.count();
}

} // namespace

upstream_index adaptive_selector::known(upstream_index upstream) const noexcept
{
    return translation_ == nullptr ? upstream : (*translation_)(upstream);
}

adaptive_selector::tier adaptive_selector::tier_of(
    upstream_index candidate, const selection_criteria& wish) const
{
    const bool tried =
        std::find(wish.tried.begin(), wish.tried.end(), candidate) !=
        wish.tried.end();
    const auto index = known(candidate);
    if (tried || !index.valid() || !planned_->admits(candidate) ||
        !current_->admits(index))
        return tier::unusable;
    const auto served = snapshots_->at(index);
    if (served.known() && !served.contains(wish.snapshot))
        return tier::unusable;
    const auto& seen = seen_->at(index);
    const bool phase_recent = wish.now - seen.phase_seen < phase_lifetime;
    if (phase_recent && seen.phase == upstream_phase::draining)
        return tier::unusable;
    if (phase_recent && seen.phase == upstream_phase::cold) {
        if (wish.hedge || seen.in_flight > 0)
            return tier::unusable;
        return tier::cold;
    }
    if (wish.now - seen.full_seen < full_lifetime)
        return tier::failing;
    const bool failed = seen.error_streak > 0 || seen.shed_streak > 0;
    if (wish.now < seen.avoid_until || (failed && seen.in_flight > 0))
        return tier::failing;
    return tier::good;
}

void adaptive_selector::add(sample& to, upstream_index candidate)
{
    ++to.count;
    if (to.count == 1)
        to.first = candidate;
    else if (to.count == 2)
        to.second = candidate;
    else if (random_->below(to.count) < 2)
        (random_->below(2) == 0 ? to.first : to.second) = candidate;
}

double adaptive_selector::cost(upstream_index candidate, time_point now) const
{
    const auto index = known(candidate);
    const auto& seen = seen_->at(index);
    const auto& defined = current_->at(index);
    const bool recent = now - seen.latency_seen <= latency_lifetime;
    const auto latency =
        recent ? seen.latency : seen_->at(defined.service).typical;
    const double each = latency == duration::zero() ? unknown_latency_us
                                                    : in_microseconds(latency);
    const bool own = defined.domain == own_domain_;
    return each * (seen.in_flight + 1) * (own ? own_domain_factor : 1.0);
}

std::optional<upstream_index>
adaptive_selector::better(const sample& from, time_point now) const
{
    if (from.count == 0)
        return std::nullopt;
    if (from.count == 1 || cost(from.first, now) <= cost(from.second, now))
        return from.first;
    return from.second;
}

std::optional<upstream_index>
adaptive_selector::choose(const selection_criteria& wish)
{
    std::array<sample, static_cast<std::size_t>(tier::unusable)> tiers;
    for (const auto candidate : wish.candidates) {
        const auto found = tier_of(candidate, wish);
        if (found != tier::unusable)
            add(tiers[static_cast<std::size_t>(found)], candidate);
    }
    const auto& cold = tiers[static_cast<std::size_t>(tier::cold)];
    if (cold.count > 0 && random_->below(cold_trial_interval) == 0)
        return better(cold, wish.now);
    for (const auto& each : tiers) {
        if (const auto chosen = better(each, wish.now))
            return chosen;
    }
    return std::nullopt;
}

} // namespace peridotward
