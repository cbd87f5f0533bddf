#include <peridotward/core/placement/replica_selector.hpp>

#include <algorithm>
#include <limits>

namespace peridotward {

namespace {

/// Before any answer, an expected time for the sake of comparing silences.
constexpr milliseconds unknown_usual{20};
/// Silence up to this many usual latencies says nothing.
constexpr double plain_silence = 2;
/// What a slot in use costs a request in another one.
constexpr double crowding_cost = 0.3;
/// Costs this close are equal: the choice among them is random.
constexpr double random_spread = 0.1;

} // namespace

double replica_selector::cost(
    const replica& candidate, duration usual, double mix, time_point now) const
{
    const auto& health = candidate.health;
    const double slots = std::max<std::uint32_t>(candidate.published.slots, 1);
    const double ahead = health.in_flight() + health.others_load(now);
    const double queued = std::max(0.0, ahead + 1 - slots);
    double expected =
        health.slowness(now) *
        (1 + crowding_cost * ahead / slots + mix * queued / slots);
    if (health.silent_since() != time_point{}) {
        const std::chrono::duration<double> silent =
            now - health.silent_since();
        const std::chrono::duration<double> unit =
            usual > duration::zero() ? usual : duration{unknown_usual};
        expected += std::max(0.0, silent / unit - plain_silence);
    }
    expected += failure_cost * health.failure_share(now);
    expected += refusal_cost * health.shed_share(now);
    if (candidate.cold(now))
        expected *= cold_factor;
    const bool near = candidate.published.domain == own_domain_;
    if (!near)
        expected += cross_domain_cost;
    if (!near || !health.has_free_slot(candidate.published.slots, now))
        expected += local_free_slot_bonus;
    return expected;
}

double replica_selector::mix_of(const std::string& service, duration usual)
{
    const std::chrono::duration<double> own = usual;
    if (own.count() <= 0)
        return 1;
    auto [mean, fresh] = mean_usual_.try_emplace(service, own.count());
    if (!fresh)
        mean->second += (own.count() - mean->second) * mix_gain;
    return mean->second / own.count();
}

bool replica_selector::take_cold(
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
    auto soonest = time_point::max();
    for (const auto number : catalog_->of_service(service.name)) {
        const auto& candidate = catalog_->at(number);
        if (catalog_->availability(candidate) == replica_availability::excluded)
            continue;
        auto chance = now + full_wait;
        if (candidate.health.unreachable(now))
            chance = std::max(chance, candidate.health.retry_at());
        const auto window = cold_windows_.find(number);
        if (candidate.cold(now) && service.cold_rate > 0 &&
            window != cold_windows_.end()) {
            const auto allowance = cold_allowance(
                candidate.published.id,
                service.cold_rate,
                cold_,
                fleet.self,
                fleet.others);
            chance = std::max(
                chance,
                std::min(
                    window->second.earliest_retry(allowance, now),
                    candidate.cold_until));
        }
        soonest = std::min(soonest, chance);
    }
    return soonest == time_point::max() ? now + empty_wait : soonest;
}

std::optional<replica_number> replica_selector::choose(
    const forward_service& service,
    std::span<const replica_number> avoid,
    duration usual,
    const fleet_view& fleet,
    time_point now)
{
    struct option
    {
        replica_number number;
        double cost;
    };
    // Replicas that fade or cannot be reached come after all others.
    constexpr double fading_cost = 1e3;
    constexpr double unreachable_cost = 1e4;
    const double mix = mix_of(service.name, usual);
    std::vector<option> options;
    for (const auto number : catalog_->of_service(service.name)) {
        if (std::find(avoid.begin(), avoid.end(), number) != avoid.end())
            continue;
        const auto& candidate = catalog_->at(number);
        const auto availability = catalog_->availability(candidate);
        if (availability == replica_availability::excluded)
            continue;
        double expected = cost(candidate, usual, mix, now);
        expected *= 1 + random_spread * random_->unit();
        if (availability == replica_availability::unpublished)
            expected += fading_cost;
        if (candidate.health.unreachable(now))
            expected += unreachable_cost;
        options.push_back({number, expected});
    }
    while (!options.empty()) {
        const auto best = std::min_element(
            options.begin(), options.end(), [](const auto& a, const auto& b) {
                return a.cost < b.cost;
            });
        const auto number = best->number;
        if (take_cold(catalog_->at(number), service, fleet, now))
            return number;
        options.erase(best);
    }
    return std::nullopt;
}

} // namespace peridotward
