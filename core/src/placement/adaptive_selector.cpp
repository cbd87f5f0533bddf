#include <peridotward/core/placement/adaptive_selector.hpp>

#include <algorithm>
#include <array>

namespace peridotward {

namespace {

constexpr std::uint64_t cold_trial_interval = 16; // selections
constexpr seconds latency_lifetime{2};
constexpr seconds phase_lifetime{5};
constexpr milliseconds no_free_slot_lifetime{2};
constexpr double own_domain_factor = 0.9;
constexpr double unknown_latency_us = 1000;

double in_microseconds(duration value)
{
    return std::chrono::duration<double, std::micro>{value}.count();
}

} // namespace

upstream_index
adaptive_selector::current_index(upstream_index upstream) const noexcept
{
    return translation_ == nullptr ? upstream : (*translation_)(upstream);
}

adaptive_selector::tier adaptive_selector::tier_of(
    upstream_index candidate, const selection_criteria& criteria) const
{
    const bool tried =
        std::find(criteria.tried.begin(), criteria.tried.end(), candidate) !=
        criteria.tried.end();
    const auto index = current_index(candidate);
    if (tried || !index.valid() || !planned_->admits(candidate) ||
        !current_->admits(index))
        return tier::unusable;
    const auto served = snapshots_->at(index);
    if (served.known() && !served.contains(criteria.snapshot))
        return tier::unusable;
    const auto& stats = stats_->at(index);
    const bool phase_recent = criteria.now - stats.phase_at < phase_lifetime;
    if (phase_recent && stats.phase == upstream_phase::draining)
        return tier::unusable;
    if (phase_recent && stats.phase == upstream_phase::cold) {
        if (criteria.hedge || stats.in_flight > 0)
            return tier::unusable;
        return tier::cold;
    }
    if (criteria.now - stats.no_free_slot_at < no_free_slot_lifetime)
        return tier::failing;
    const bool failed = stats.error_streak > 0 || stats.shed_streak > 0;
    if (criteria.now < stats.avoid_until || (failed && stats.in_flight > 0))
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
    const auto index = current_index(candidate);
    const auto& stats = stats_->at(index);
    const auto& defined = current_->at(index);
    const bool recent = now - stats.latency_at <= latency_lifetime;
    const auto latency =
        recent ? stats.latency : stats_->at(defined.service).typical;
    const double latency_us = latency == duration::zero()
                                  ? unknown_latency_us
                                  : in_microseconds(latency);
    const bool in_own_domain = defined.domain == own_domain_;
    return latency_us * (stats.in_flight + 1) *
           (in_own_domain ? own_domain_factor : 1.0);
}

std::optional<upstream_index>
adaptive_selector::cheaper(const sample& from, time_point now) const
{
    if (from.count == 0)
        return std::nullopt;
    if (from.count == 1 || cost(from.first, now) <= cost(from.second, now))
        return from.first;
    return from.second;
}

std::optional<upstream_index>
adaptive_selector::choose(const selection_criteria& criteria)
{
    std::array<sample, static_cast<std::size_t>(tier::unusable)> tiers;
    for (const auto candidate : criteria.candidates) {
        const auto found = tier_of(candidate, criteria);
        if (found != tier::unusable)
            add(tiers[static_cast<std::size_t>(found)], candidate);
    }
    const auto& cold = tiers[static_cast<std::size_t>(tier::cold)];
    if (cold.count > 0 && random_->below(cold_trial_interval) == 0)
        return cheaper(cold, criteria.now);
    for (const auto& each : tiers) {
        if (const auto chosen = cheaper(each, criteria.now))
            return chosen;
    }
    return std::nullopt;
}

} // namespace peridotward
