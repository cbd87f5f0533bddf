#include <peridotward/core/placement/replica_selector.hpp>

#include <algorithm>
#include <limits>

namespace peridotward {

namespace {

/// Unit for the time without an answer while the typical latency is unknown.
constexpr milliseconds default_typical_latency{20};
/// Time without an answer that costs nothing, in typical latencies.
constexpr double tolerated_silence = 2;
/// Time without an answer, in expected latencies, from which a replica that
/// reports its speed probably pauses: one answer in a hundred takes longer for
/// another reason.
constexpr double overdue_factor = 2;
/// Expected remainder of a pause of 100 to 120 ms that shows as overdue, in
/// typical latencies.
constexpr double pause_cost = 4;
/// Cost of a slot in use for a request in another slot of the replica.
constexpr double busy_slot_cost = 0.3;
/// Relative random spread, so that the selection among replicas of about equal
/// cost is random.
constexpr double random_spread = 0.1;

} // namespace

double replica_selector::cost(
    const replica& candidate,
    duration typical_latency,
    double queued_request_cost,
    time_point now) const
{
    const auto& health = candidate.health;
    const double slots = std::max<std::uint32_t>(candidate.published.slots, 1);
    const double ahead =
        health.in_flight() + health.load_of_other_instances(now);
    const double queued = std::max(0.0, ahead + 1 - slots);
    double expected =
        health.selection_slowness(now) * (1 + busy_slot_cost * ahead / slots +
                                          queued_request_cost * queued / slots);
    if (health.silent_since() != time_point{}) {
        const std::chrono::duration<double> silent =
            now - health.silent_since();
        const std::chrono::duration<double> unit =
            typical_latency > duration::zero()
                ? typical_latency
                : duration{default_typical_latency};
        expected += std::max(0.0, silent / unit - tolerated_silence);
        if (health.speed().reported() &&
            silent > unit * (overdue_factor * health.slowness(now)))
            expected += pause_cost;
    }
    expected += failure_cost * health.failure_share(now);
    expected += refusal_cost * health.shed_share(now);
    if (candidate.cold(now))
        expected *= cold_factor;
    const bool local = candidate.published.domain == own_domain_;
    if (!local)
        expected += cross_domain_cost;
    if (!local || !health.has_free_slot(candidate.published.slots, now))
        expected += local_free_slot_bonus;
    return expected;
}

double replica_selector::update_queued_request_cost(
    const std::string& service, duration typical_latency)
{
    const std::chrono::duration<double> own_seconds = typical_latency;
    if (own_seconds.count() <= 0)
        return 1;
    auto [mean, inserted] =
        mean_typical_latency_.try_emplace(service, own_seconds.count());
    if (!inserted)
        mean->second +=
            (own_seconds.count() - mean->second) * typical_latency_gain;
    return mean->second / own_seconds.count();
}

std::uint32_t replica_selector::share_of_rate(
    const replica& candidate, const fleet_view& fleet) const
{
    const double per_second = *candidate.rate_limit;
    const auto [found, added] = known_shares_.try_emplace(candidate.number);
    auto& known = found->second;
    if (added || known.per_second != per_second ||
        known.fleet_revision != fleet.revision)
        known = {
            per_second,
            fleet.revision,
            rate_share::of(
                per_second, candidate.published.id, fleet.self, fleet.others)};
    return known.share;
}

bool replica_selector::try_acquire_rate(
    const replica& candidate, const fleet_view& fleet, time_point now)
{
    return !candidate.rate_limit || rate_shares_[candidate.number].try_acquire(
                                        share_of_rate(candidate, fleet), now);
}

bool replica_selector::try_acquire(
    const replica& candidate,
    const forward_service& service,
    const fleet_view& fleet,
    time_point now)
{
    if (!try_acquire_rate(candidate, fleet, now))
        return false;
    if (try_acquire_cold(candidate, service, fleet, now))
        return true;
    release(candidate.number, now);
    return false;
}

void replica_selector::release(
    replica_number number, time_point chosen_at) noexcept
{
    if (const auto share = rate_shares_.find(number);
        share != rate_shares_.end())
        share->second.release(chosen_at);
}

bool replica_selector::try_acquire_cold(
    const replica& candidate,
    const forward_service& service,
    const fleet_view& fleet,
    time_point now)
{
    if (!candidate.cold(now) || service.cold_rate <= 0)
        return true;
    const auto allowance = cold_allowance(
        candidate.published.id,
        service.cold_rate,
        cold_,
        fleet.self,
        fleet.others);
    return cold_windows_[candidate.number].try_acquire(allowance, now);
}

time_point replica_selector::earliest_retry(
    const forward_service& service,
    const fleet_view& fleet,
    time_point now) const
{
    auto earliest = time_point::max();
    for (const auto number : catalog_->of_service(service.name)) {
        const auto& candidate = catalog_->at(number);
        if (catalog_->availability(candidate) == replica_availability::excluded)
            continue;
        auto retry_at_estimate =
            std::max(now + no_free_slot_wait, candidate.health.paused_until());
        if (candidate.health.unreachable(now))
            retry_at_estimate =
                std::max(retry_at_estimate, candidate.health.reconnect_at());
        if (const auto share = rate_shares_.find(number);
            candidate.rate_limit && share != rate_shares_.end())
            retry_at_estimate = std::max(
                retry_at_estimate,
                share->second.earliest_retry(
                    share_of_rate(candidate, fleet), now));
        const auto window = cold_windows_.find(number);
        if (candidate.cold(now) && service.cold_rate > 0 &&
            window != cold_windows_.end()) {
            const auto allowance = cold_allowance(
                candidate.published.id,
                service.cold_rate,
                cold_,
                fleet.self,
                fleet.others);
            retry_at_estimate = std::max(
                retry_at_estimate,
                std::min(
                    window->second.earliest_retry(allowance, now),
                    candidate.cold_until));
        }
        earliest = std::min(earliest, retry_at_estimate);
    }
    return earliest == time_point::max() ? now + no_replica_wait : earliest;
}

bool replica_selector::is_share_used_up(
    const replica& candidate, const fleet_view& fleet, time_point now) const
{
    const auto share = rate_shares_.find(candidate.number);
    return candidate.rate_limit && share != rate_shares_.end() &&
           share->second.earliest_retry(share_of_rate(candidate, fleet), now) >
               now;
}

unusable_replicas replica_selector::count_unusable(
    const forward_service& service,
    const fleet_view& fleet,
    time_point now) const
{
    unusable_replicas counted;
    for (const auto number : catalog_->of_service(service.name)) {
        const auto& candidate = catalog_->at(number);
        if (catalog_->availability(candidate) == replica_availability::excluded)
            ++counted.excluded;
        else if (candidate.health.paused(now))
            ++counted.paused;
        else if (candidate.health.unreachable(now))
            ++counted.unreachable;
        else if (is_share_used_up(candidate, fleet, now))
            ++counted.rate_limited;
    }
    return counted;
}

std::optional<replica_number> replica_selector::choose(
    const forward_service& service,
    std::span<const replica_number> avoid,
    duration typical_latency,
    const fleet_view& fleet,
    time_point now)
{
    struct scored_replica
    {
        replica_number number;
        double cost;
    };
    // Unpublished and unreachable replicas come after all others.
    constexpr double unpublished_cost = 1e3;
    constexpr double unreachable_cost = 1e4;
    const double queued_request_cost =
        update_queued_request_cost(service.name, typical_latency);
    std::vector<scored_replica> options;
    for (const auto number : catalog_->of_service(service.name)) {
        if (std::find(avoid.begin(), avoid.end(), number) != avoid.end())
            continue;
        const auto& candidate = catalog_->at(number);
        const auto availability = catalog_->availability(candidate);
        if (availability == replica_availability::excluded ||
            candidate.health.paused(now))
            continue;
        double expected =
            cost(candidate, typical_latency, queued_request_cost, now);
        expected *= 1 + random_spread * random_->unit();
        if (availability == replica_availability::unpublished)
            expected += unpublished_cost;
        if (candidate.health.unreachable(now))
            expected += unreachable_cost;
        options.push_back({number, expected});
    }
    while (!options.empty()) {
        const auto cheapest = std::min_element(
            options.begin(), options.end(), [](const auto& a, const auto& b) {
                return a.cost < b.cost;
            });
        const auto number = cheapest->number;
        if (try_acquire(catalog_->at(number), service, fleet, now))
            return number;
        options.erase(cheapest);
    }
    return std::nullopt;
}

} // namespace peridotward
