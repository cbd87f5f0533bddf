#include <peridotward/core/budgets/upstream_budgets.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace peridotward {

namespace {

/// From this many slots on, one is kept for normal and urgent requests.
constexpr std::uint32_t slots_with_reserve = 3;

} // namespace

upstream_budgets::upstream_budgets(
    const lease_controller& leases, fleet_timing timing)
    : leases_{&leases}, timing_{timing}
{}

void upstream_budgets::on_bundle(bundle_ptr in_force, time_point now)
{
    if (in_force_ && in_force->version <= in_force_->version)
        return;
    shares_.on_bundle(*in_force, in_force_.get(), now, timing_.share_settle);
    const auto older = std::exchange(in_force_, std::move(in_force));
    if (older)
        carry_states(*in_force_, *older);
    states_.resize(in_force_->upstreams.size());
    usual_.resize(in_force_->services.size());
    busy_.assign(states_.size(), 0);
    for (std::uint32_t i = 0; i < states_.size(); ++i) {
        if (!older)
            states_[i].removed = !in_force_->admits(upstream_index{i});
        update_removed(upstream_index{i}, now);
        update_busy(upstream_index{i});
    }
}

void upstream_budgets::carry_states(const bundle& newer, const bundle& older)
{
    std::unordered_map<std::string_view, std::size_t> known;
    for (std::size_t i = 0; i < older.upstreams.size(); ++i)
        known.emplace(older.upstreams[i].id, i);
    std::vector<state> states(newer.upstreams.size());
    for (std::size_t i = 0; i < states.size(); ++i) {
        const auto found = known.find(newer.upstreams[i].id);
        if (found != known.end())
            states[i] = states_[found->second];
    }
    std::vector<mean_latency> usual(newer.services.size());
    for (std::size_t i = 0; i < usual.size(); ++i) {
        const auto found = older.find_service(newer.services[i].id);
        if (found.valid())
            usual[i] = usual_[found.position()];
    }
    states_ = std::move(states);
    usual_ = std::move(usual);
}

void upstream_budgets::on_list(const instance_list& list, time_point now)
{
    leaving_.clear();
    for (const auto& entry : list.upstreams) {
        if (entry.state == listed_state::leaving)
            leaving_.push_back(entry.id);
    }
    std::sort(leaving_.begin(), leaving_.end());
    for (std::uint32_t i = 0; i < states_.size(); ++i)
        update_removed(upstream_index{i}, now);
}

void upstream_budgets::update_removed(upstream_index upstream, time_point now)
{
    auto& changed = states_[upstream.position()];
    const auto& id = in_force_->at(upstream).id;
    const bool listed =
        std::binary_search(leaving_.begin(), leaving_.end(), id);
    const bool removed = listed || !in_force_->admits(upstream);
    if (changed.removed && !removed)
        bring_back(upstream, now);
    changed.removed = removed;
}

void upstream_budgets::bring_back(upstream_index upstream, time_point now)
{
    auto& changed = states_[upstream.position()];
    changed.returned = now;
    changed.warmup.reset_to_cold(now);
}

void upstream_budgets::follow_lease(upstream_index upstream, time_point now)
{
    auto& followed = states_[upstream.position()];
    const auto since = leases_->held_since(upstream);
    if (since == followed.held_since)
        return;
    followed.held_since = since;
    const auto& limits = in_force_->service_of(upstream);
    followed.warmup.reset(limits, now);
    const bool returning = followed.returned != time_point{} &&
                           now - followed.returned < limits.cold_ramp;
    if (returning)
        followed.warmup.reset_to_cold(now);
}

tl::expected<budget_grant, budget_refusal> upstream_budgets::try_begin(
    upstream_index upstream,
    caller_priority priority,
    bool hedge,
    time_point now)
{
    const bool known = in_force_ && in_force_ == leases_->in_force() &&
                       upstream.position() < states_.size();
    if (!known)
        return tl::unexpected{budget_refusal::not_owner};
    auto& used = states_[upstream.position()];
    if (used.removed)
        return tl::unexpected{budget_refusal::removed};
    if (!leases_->holds(upstream, now))
        return tl::unexpected{budget_refusal::not_owner};
    follow_lease(upstream, now);
    if (const auto refusal = slot_refusal(upstream, priority, hedge))
        return tl::unexpected{*refusal};
    const auto backing = backing_for(upstream, now);
    if (!backing.valid())
        return tl::unexpected{budget_refusal::domain_limit};
    ++used.in_flight;
    ++states_[backing.position()].backed;
    update_busy(upstream);
    update_busy(backing);
    const auto& names = leases_->voters();
    const auto end =
        std::min(leases_->valid_until(upstream), leases_->valid_until(backing));
    return budget_grant{names.resource(upstream), names.resource(backing), end};
}

std::optional<budget_refusal> upstream_budgets::slot_refusal(
    upstream_index upstream,
    caller_priority priority,
    bool hedge) const noexcept
{
    const auto& used = states_[upstream.position()];
    if (used.draining)
        return budget_refusal::draining;
    const auto limit = used.warmup.limit(in_force_->service_of(upstream));
    if (used.in_flight >= limit)
        return budget_refusal::no_slot;
    const bool spare = limit < slots_with_reserve || used.in_flight + 1 < limit;
    const bool may_wait = hedge || priority == caller_priority::bulk;
    if (may_wait && !spare)
        return budget_refusal::reserved_for_priority;
    // An unproven upstream has its cold slots; a hedge in one of them is no
    // more than it bears in any case.
    const bool starting = used.warmup.phase() == warmup_phase::cold ||
                          used.warmup.phase() == warmup_phase::ramping;
    if (hedge && starting)
        return budget_refusal::reserved_for_priority;
    return std::nullopt;
}

upstream_index upstream_budgets::backing_for(
    upstream_index upstream, time_point now) const noexcept
{
    if (has_share(upstream, now))
        return upstream;
    const auto domain = in_force_->at(upstream).domain;
    for (const auto other : leases_->voted_upstreams()) {
        const bool lends = in_force_->at(other).domain == domain &&
                           has_share(other, now) && leases_->holds(other, now);
        if (lends)
            return other;
    }
    return {};
}

bool upstream_budgets::has_share(
    upstream_index upstream, time_point now) const noexcept
{
    return states_[upstream.position()].backed < shares_.of(upstream, now);
}

void upstream_budgets::on_end(
    const budget_grant& granted,
    attempt_outcome outcome,
    const upstream_report& report,
    duration elapsed,
    time_point now)
{
    const auto& names = leases_->voters();
    const auto backing = names.find(granted.backing);
    if (backing.valid() && states_[backing.position()].backed > 0) {
        --states_[backing.position()].backed;
        update_busy(backing);
    }
    const auto upstream = names.find(granted.upstream);
    if (!upstream.valid() || states_[upstream.position()].in_flight == 0)
        return;
    auto& used = states_[upstream.position()];
    --used.in_flight;
    update_busy(upstream);
    if (outcome == attempt_outcome::draining)
        note_phase(upstream, upstream_phase::draining, now);
    else
        note_phase(upstream, report.phase, now);
    const auto service = in_force_->at(upstream).service;
    const auto usual = usual_[service.position()].value();
    const auto& limits = in_force_->at(service);
    used.warmup.on_answer(limits, outcome, report.phase, elapsed, usual, now);
    if (outcome == attempt_outcome::answered)
        note_usual(service, elapsed, used.warmup);
}

void upstream_budgets::note_usual(
    service_index index, duration elapsed, const warmup_tracker& warmup)
{
    const bool typical = warmup.phase() == warmup_phase::warm ||
                         warmup.phase() == warmup_phase::unproven;
    usual_[index.position()].add(elapsed, typical);
}

void upstream_budgets::on_report(
    upstream_index upstream, const upstream_report& report, time_point now)
{
    if (upstream.position() >= states_.size())
        return;
    note_phase(upstream, report.phase, now);
    if (report.phase == upstream_phase::cold)
        states_[upstream.position()].warmup.on_reported_phase(
            report.phase, now);
}

void upstream_budgets::note_phase(
    upstream_index upstream, upstream_phase phase, time_point now)
{
    auto& changed = states_[upstream.position()];
    const bool back = changed.draining && (phase == upstream_phase::warm ||
                                           phase == upstream_phase::cold);
    if (phase == upstream_phase::draining)
        changed.draining = true;
    if (!back)
        return;
    changed.draining = false;
    bring_back(upstream, now);
}

void upstream_budgets::update_busy(upstream_index upstream)
{
    const auto& counted = states_[upstream.position()];
    busy_[upstream.position()] = counted.in_flight + counted.backed;
}

std::uint32_t upstream_budgets::free_slots(
    upstream_index upstream, time_point now) const noexcept
{
    if (upstream.position() >= states_.size())
        return 0;
    const auto& used = states_[upstream.position()];
    const bool open =
        !used.removed && !used.draining && leases_->holds(upstream, now);
    if (!open)
        return 0;
    const auto limit = used.warmup.limit(in_force_->service_of(upstream));
    return limit > used.in_flight ? limit - used.in_flight : 0;
}

std::uint32_t
upstream_budgets::connection_limit(upstream_index upstream) const noexcept
{
    if (upstream.position() >= states_.size())
        return 0;
    const std::uint32_t voters = leases_->voters().of(upstream).count;
    const auto published = in_force_->service_of(upstream).connections;
    return std::max(1U, published / std::max(1U, voters));
}

bool upstream_budgets::try_connect(upstream_index upstream, time_point now)
{
    if (upstream.position() >= states_.size())
        return false;
    auto& used = states_[upstream.position()];
    const bool allowed = leases_->holds(upstream, now) &&
                         used.connections < connection_limit(upstream) &&
                         now >= used.next_connect;
    if (!allowed)
        return false;
    ++used.connections;
    used.next_connect = now + in_force_->service_of(upstream).connect_cost;
    return true;
}

void upstream_budgets::on_disconnect(upstream_index upstream) noexcept
{
    if (upstream.position() >= states_.size())
        return;
    auto& used = states_[upstream.position()];
    if (used.connections > 0)
        --used.connections;
}

budget_view
upstream_budgets::view(upstream_index upstream, time_point now) const
{
    budget_view shown;
    shown.upstream = upstream;
    if (upstream.position() >= states_.size())
        return shown;
    const auto& used = states_[upstream.position()];
    const auto& limits = in_force_->service_of(upstream);
    shown.warmup = used.warmup.phase();
    shown.in_flight = used.in_flight;
    shown.limit = leases_->holds(upstream, now) ? used.warmup.limit(limits) : 0;
    shown.slots = limits.slots;
    shown.connections = used.connections;
    shown.removed = used.removed;
    shown.draining = used.draining;
    return shown;
}

} // namespace peridotward
