#include <peridotward/core/budgets/upstream_budgets.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace peridotward {

namespace {

/// Minimum number of slots for which one is reserved for normal and urgent
/// requests.
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
    mean_latencies_.resize(in_force_->services.size());
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
    std::unordered_map<std::string_view, std::size_t> older_indices;
    for (std::size_t i = 0; i < older.upstreams.size(); ++i)
        older_indices.emplace(older.upstreams[i].id, i);
    std::vector<state> states(newer.upstreams.size());
    for (std::size_t i = 0; i < states.size(); ++i) {
        const auto found = older_indices.find(newer.upstreams[i].id);
        if (found != older_indices.end())
            states[i] = states_[found->second];
    }
    std::vector<mean_latency> mean_latencies(newer.services.size());
    for (std::size_t i = 0; i < mean_latencies.size(); ++i) {
        const auto found = older.find_service(newer.services[i].id);
        if (found.valid())
            mean_latencies[i] = mean_latencies_[found.position()];
    }
    states_ = std::move(states);
    mean_latencies_ = std::move(mean_latencies);
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
    auto& target = states_[upstream.position()];
    const auto& id = in_force_->at(upstream).id;
    const bool listed =
        std::binary_search(leaving_.begin(), leaving_.end(), id);
    const bool removed = listed || !in_force_->admits(upstream);
    if (target.removed && !removed)
        readmit(upstream, now);
    target.removed = removed;
}

void upstream_budgets::readmit(upstream_index upstream, time_point now)
{
    auto& target = states_[upstream.position()];
    target.readmitted_at = now;
    target.warmup.reset_to_cold(now);
}

void upstream_budgets::sync_with_lease(upstream_index upstream, time_point now)
{
    auto& target = states_[upstream.position()];
    const auto held_since = leases_->held_since(upstream);
    if (held_since == target.held_since)
        return;
    target.held_since = held_since;
    const auto& limits = in_force_->service_of(upstream);
    target.warmup.reset(limits, now);
    const bool recently_readmitted =
        target.readmitted_at != time_point{} &&
        now - target.readmitted_at < limits.cold_ramp;
    if (recently_readmitted)
        target.warmup.reset_to_cold(now);
}

tl::expected<budget_grant, budget_refusal> upstream_budgets::try_begin(
    upstream_index upstream,
    caller_priority priority,
    bool hedge,
    time_point now)
{
    const bool same_bundle = in_force_ && in_force_ == leases_->in_force() &&
                             upstream.position() < states_.size();
    if (!same_bundle)
        return tl::unexpected{budget_refusal::not_owner};
    auto& target = states_[upstream.position()];
    if (target.removed)
        return tl::unexpected{budget_refusal::removed};
    if (!leases_->holds(upstream, now))
        return tl::unexpected{budget_refusal::not_owner};
    sync_with_lease(upstream, now);
    if (const auto refusal = slot_refusal(upstream, priority, hedge))
        return tl::unexpected{*refusal};
    const auto share_owner = share_owner_for(upstream, now);
    if (!share_owner.valid())
        return tl::unexpected{budget_refusal::domain_limit};
    ++target.in_flight;
    ++states_[share_owner.position()].shares_in_use;
    update_busy(upstream);
    update_busy(share_owner);
    const auto& voters = leases_->voters();
    const auto end = std::min(
        leases_->valid_until(upstream), leases_->valid_until(share_owner));
    return budget_grant{
        voters.resource(upstream), voters.resource(share_owner), end};
}

std::optional<budget_refusal> upstream_budgets::slot_refusal(
    upstream_index upstream,
    caller_priority priority,
    bool hedge) const noexcept
{
    const auto& target = states_[upstream.position()];
    if (target.draining)
        return budget_refusal::draining;
    const auto limit = target.warmup.limit(in_force_->service_of(upstream));
    if (target.in_flight >= limit)
        return budget_refusal::no_slot;
    const bool has_spare_slot =
        limit < slots_with_reserve || target.in_flight + 1 < limit;
    const bool low_priority = hedge || priority == caller_priority::bulk;
    if (low_priority && !has_spare_slot)
        return budget_refusal::reserved_for_priority;
    // An unproven upstream is limited to its cold slots, which it handles in
    // any case, so hedges may use them.
    const bool warming_up = target.warmup.phase() == warmup_phase::cold ||
                            target.warmup.phase() == warmup_phase::ramping;
    if (hedge && warming_up)
        return budget_refusal::reserved_for_priority;
    return std::nullopt;
}

upstream_index upstream_budgets::share_owner_for(
    upstream_index upstream, time_point now) const noexcept
{
    if (has_unused_share(upstream, now))
        return upstream;
    const auto domain = in_force_->at(upstream).domain;
    for (const auto other : leases_->voted_upstreams()) {
        const bool can_lend = in_force_->at(other).domain == domain &&
                              has_unused_share(other, now) &&
                              leases_->holds(other, now);
        if (can_lend)
            return other;
    }
    return {};
}

bool upstream_budgets::has_unused_share(
    upstream_index upstream, time_point now) const noexcept
{
    return states_[upstream.position()].shares_in_use <
           shares_.of(upstream, now);
}

void upstream_budgets::on_end(
    const budget_grant& grant,
    attempt_outcome outcome,
    const upstream_report& report,
    duration elapsed,
    time_point now)
{
    const auto& voters = leases_->voters();
    const auto share_owner = voters.find(grant.share_owner);
    if (share_owner.valid() &&
        states_[share_owner.position()].shares_in_use > 0) {
        --states_[share_owner.position()].shares_in_use;
        update_busy(share_owner);
    }
    const auto upstream = voters.find(grant.upstream);
    if (!upstream.valid() || states_[upstream.position()].in_flight == 0)
        return;
    auto& target = states_[upstream.position()];
    --target.in_flight;
    update_busy(upstream);
    if (outcome == attempt_outcome::draining)
        update_phase(upstream, upstream_phase::draining, now);
    else
        update_phase(upstream, report.phase, now);
    const auto service = in_force_->at(upstream).service;
    const auto typical_latency = mean_latencies_[service.position()].value();
    const auto& limits = in_force_->at(service);
    target.warmup.on_answer(
        limits, outcome, report.phase, elapsed, typical_latency, now);
    if (outcome == attempt_outcome::answered)
        update_mean_latency(service, elapsed, target.warmup);
}

void upstream_budgets::update_mean_latency(
    service_index service, duration elapsed, const warmup_tracker& warmup)
{
    const bool typical = warmup.phase() == warmup_phase::warm ||
                         warmup.phase() == warmup_phase::unproven;
    mean_latencies_[service.position()].add(elapsed, typical);
}

void upstream_budgets::on_report(
    upstream_index upstream, const upstream_report& report, time_point now)
{
    if (upstream.position() >= states_.size())
        return;
    update_phase(upstream, report.phase, now);
    if (report.phase == upstream_phase::cold)
        states_[upstream.position()].warmup.on_reported_phase(
            report.phase, now);
}

void upstream_budgets::update_phase(
    upstream_index upstream, upstream_phase phase, time_point now)
{
    auto& target = states_[upstream.position()];
    const bool readmitted = target.draining && (phase == upstream_phase::warm ||
                                                phase == upstream_phase::cold);
    if (phase == upstream_phase::draining)
        target.draining = true;
    if (!readmitted)
        return;
    target.draining = false;
    readmit(upstream, now);
}

void upstream_budgets::update_busy(upstream_index upstream)
{
    const auto& target = states_[upstream.position()];
    busy_[upstream.position()] = target.in_flight + target.shares_in_use;
}

std::uint32_t upstream_budgets::free_slots(
    upstream_index upstream, time_point now) const noexcept
{
    if (upstream.position() >= states_.size())
        return 0;
    const auto& target = states_[upstream.position()];
    const bool usable =
        !target.removed && !target.draining && leases_->holds(upstream, now);
    if (!usable)
        return 0;
    const auto limit = target.warmup.limit(in_force_->service_of(upstream));
    return limit > target.in_flight ? limit - target.in_flight : 0;
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
    auto& target = states_[upstream.position()];
    const bool allowed = leases_->holds(upstream, now) &&
                         target.connections < connection_limit(upstream) &&
                         now >= target.next_connect;
    if (!allowed)
        return false;
    ++target.connections;
    target.next_connect = now + in_force_->service_of(upstream).connect_cost;
    return true;
}

void upstream_budgets::on_disconnect(upstream_index upstream) noexcept
{
    if (upstream.position() >= states_.size())
        return;
    auto& target = states_[upstream.position()];
    if (target.connections > 0)
        --target.connections;
}

budget_view
upstream_budgets::view(upstream_index upstream, time_point now) const
{
    budget_view result;
    result.upstream = upstream;
    if (upstream.position() >= states_.size())
        return result;
    const auto& target = states_[upstream.position()];
    const auto& limits = in_force_->service_of(upstream);
    result.warmup = target.warmup.phase();
    result.in_flight = target.in_flight;
    result.limit =
        leases_->holds(upstream, now) ? target.warmup.limit(limits) : 0;
    result.slots = limits.slots;
    result.connections = target.connections;
    result.removed = target.removed;
    result.draining = target.draining;
    return result;
}

} // namespace peridotward
