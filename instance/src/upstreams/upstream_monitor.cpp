#include "upstreams/upstream_monitor.hpp"

#include <algorithm>

namespace peridotward {

namespace {

constexpr seconds poll_interval{1};
/// One member receives the reports of all owned upstreams each time.
constexpr seconds refresh_interval{1};
/// A new instance serves after this time even if some upstreams have not
/// reported, since they may be down.
constexpr seconds max_startup_wait{6};

std::uint64_t to_integer(resource_id id)
{
    return static_cast<std::uint64_t>(id);
}

bool is_different(const upstream_report& a, const upstream_report& b)
{
    return a.phase != b.phase || a.snapshots.oldest != b.snapshots.oldest ||
           a.snapshots.newest != b.snapshots.newest;
}

} // namespace

upstream_monitor::upstream_monitor(fleet_runner& fleet, upstream_client& client)
    : fleet_{&fleet},
      client_{&client},
      state_{&fleet.state()},
      started_at_{state_->loop.now()}
{
    state_->startup_wait_reason = "no upstream has reported yet";
    fleet.on_tick([this](time_point now) { on_tick(now); });
    fleet.on_bundle([this](time_point now) { on_bundle(now); });
    fleet.on<upstream_report_batch>(
        [this](const peer_process&, const upstream_report_batch& batch) {
            on_report_batch(batch);
        });
}

void upstream_monitor::on_tick(time_point now)
{
    if (!fleet_->leases().in_force())
        return;
    if (now >= next_poll_) {
        next_poll_ = now + poll_interval;
        poll(now);
    }
    send_changes();
    send_to_new_members();
    if (now >= next_refresh_) {
        next_refresh_ = now + refresh_interval;
        refresh_one();
    }
    update_readiness(now);
}

/// Removes the reports of upstreams that the bundle no longer contains.
void upstream_monitor::on_bundle(time_point)
{
    const auto& voters = fleet_->leases().voters();
    std::erase_if(reports_, [&](const auto& entry) {
        return !voters.find(resource_id{entry.first}).valid();
    });
}

void upstream_monitor::on_report_batch(const upstream_report_batch& batch)
{
    fleet_->apply_state_changes();
    for (const auto& entry : batch.entries)
        store_report(entry.upstream, entry.report, false);
}

void upstream_monitor::poll(time_point now)
{
    const auto& leases = fleet_->leases();
    const auto in_force = leases.in_force();
    for (const auto index : leases.voted_upstreams()) {
        if (!leases.holds(index, now))
            continue;
        client_->status(
            in_force->at(index).address,
            [this, id = leases.voters().resource(index)](
                const shard_response& response) {
                if (response.outcome == attempt_outcome::answered)
                    on_status(id, response.report);
            });
    }
}

void upstream_monitor::on_status(resource_id id, const upstream_report& report)
{
    const auto index = fleet_->leases().voters().find(id);
    if (!index.valid())
        return;
    fleet_->budgets().on_report(index, report, state_->loop.now());
    store_report(id, report, true);
}

void upstream_monitor::store_report(
    resource_id id, const upstream_report& report, bool owned)
{
    if (!fleet_->leases().voters().find(id).valid())
        return;
    auto [entry, is_new] =
        reports_.try_emplace(to_integer(id), known_report{report, !owned});
    const bool changed = is_new || is_different(entry->second.report, report);
    entry->second.report = report;
    if (changed)
        entry->second.broadcast = !owned;
    apply_report(id, report);
}

void upstream_monitor::apply_report(
    resource_id id, const upstream_report& report)
{
    const auto index = fleet_->leases().voters().find(id);
    const auto now = state_->loop.now();
    state_->snapshots.observe(index, report.snapshots, now);
    state_->replicas.on_report(index, report, now);
}

upstream_report_batch
upstream_monitor::collect_owned_reports(bool changes_only) const
{
    const auto& leases = fleet_->leases();
    const auto now = state_->loop.now();
    upstream_report_batch batch;
    for (const auto index : leases.voted_upstreams()) {
        const auto id = leases.voters().resource(index);
        const auto found = reports_.find(to_integer(id));
        const bool included = found != reports_.end() &&
                              (!changes_only || !found->second.broadcast) &&
                              leases.holds(index, now);
        if (included)
            batch.entries.push_back({id, found->second.report});
    }
    return batch;
}

void upstream_monitor::send_changes()
{
    const auto batch = collect_owned_reports(true);
    if (batch.entries.empty())
        return;
    for (const auto& entry : batch.entries)
        reports_.at(to_integer(entry.upstream)).broadcast = true;
    for (const auto& [instance_id, member] : fleet_->members().members()) {
        if (member.latest_update.state != member_state::dead)
            fleet_->send(instance_id, batch);
    }
}

/// Sends the reports of all owned upstreams to members that have just started.
void upstream_monitor::send_to_new_members()
{
    const auto& members = fleet_->members();
    if (members.revision() == members_revision_)
        return;
    members_revision_ = members.revision();
    const auto batch = collect_owned_reports(false);
    for (const auto& [instance_id, member] : members.members()) {
        auto& notified_incarnation = notified_incarnations_[instance_id];
        const bool is_new =
            member.latest_update.state == member_state::alive &&
            member.latest_update.incarnation > notified_incarnation;
        if (!is_new)
            continue;
        notified_incarnation = member.latest_update.incarnation;
        if (!batch.entries.empty())
            fleet_->send(instance_id, batch);
    }
}

void upstream_monitor::refresh_one()
{
    const auto& members = fleet_->members().members();
    if (members.empty())
        return;
    auto next = members.upper_bound(last_refreshed_);
    if (next == members.end())
        next = members.begin();
    last_refreshed_ = next->first;
    const auto batch = collect_owned_reports(false);
    if (!batch.entries.empty())
        fleet_->send(last_refreshed_, batch);
}

void upstream_monitor::update_readiness(time_point now)
{
    if (all_reported_)
        return;
    const auto total = fleet_->leases().in_force()->upstreams.size();
    all_reported_ =
        reports_.size() >= total || now - started_at_ > max_startup_wait;
    state_->startup_wait_reason =
        all_reported_ ? std::string{}
                      : std::to_string(reports_.size()) + " of " +
                            std::to_string(total) + " upstreams have reported";
}

} // namespace peridotward
