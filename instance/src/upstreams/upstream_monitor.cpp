#include "upstreams/upstream_monitor.hpp"

#include <algorithm>

namespace peridotward {

namespace {

constexpr seconds poll_interval{1};
/// One member gets all own reports each time.
constexpr seconds refresh_interval{1};
/// A fresh instance serves after this time even when some upstreams are
/// unknown, since they may be down.
constexpr seconds longest_start{6};

std::uint64_t number_of(resource_id id)
{
    return static_cast<std::uint64_t>(id);
}

bool differs(const upstream_report& a, const upstream_report& b)
{
    return a.phase != b.phase || a.snapshots.oldest != b.snapshots.oldest ||
           a.snapshots.newest != b.snapshots.newest;
}

} // namespace

upstream_monitor::upstream_monitor(
    fleet_runner& fleet, upstream_client& gateway)
    : fleet_{&fleet},
      gateway_{&gateway},
      state_{&fleet.state()},
      started_{state_->loop.now()}
{
    state_->waiting_for = "no upstream has reported yet";
    fleet.on_tick([this](time_point now) { on_tick(now); });
    fleet.on_bundle([this](time_point now) { on_bundle(now); });
    fleet.on<upstream_news>(
        [this](const peer_process&, const upstream_news& news) {
            on_news(news);
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
    tell_changes();
    greet_new_members();
    if (now >= next_refresh_) {
        next_refresh_ = now + refresh_interval;
        refresh_one();
    }
    update_readiness(now);
}

/// Forgets upstreams that are not in the bundle any more.
void upstream_monitor::on_bundle(time_point)
{
    const auto& names = fleet_->leases().voters();
    std::erase_if(seen_, [&](const auto& entry) {
        return !names.find(resource_id{entry.first}).valid();
    });
}

void upstream_monitor::on_news(const upstream_news& news)
{
    fleet_->follow_state();
    for (const auto& entry : news.entries)
        note(entry.upstream, entry.report, false);
}

void upstream_monitor::poll(time_point now)
{
    const auto& leases = fleet_->leases();
    const auto in_force = leases.in_force();
    for (const auto index : leases.voted()) {
        if (!leases.holds(index, now))
            continue;
        gateway_->status(
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
    note(id, report, true);
}

void upstream_monitor::note(
    resource_id id, const upstream_report& report, bool own)
{
    if (!fleet_->leases().voters().find(id).valid())
        return;
    auto [entry, fresh] =
        seen_.try_emplace(number_of(id), sighting{report, !own});
    const bool changed = fresh || differs(entry->second.report, report);
    entry->second.report = report;
    if (changed)
        entry->second.told = !own;
    observe(id, report);
}

void upstream_monitor::observe(resource_id id, const upstream_report& report)
{
    const auto index = fleet_->leases().voters().find(id);
    const auto now = state_->loop.now();
    state_->snapshots.observe(index, report.snapshots, now);
    state_->replicas.on_report(index, report, now);
}

upstream_news upstream_monitor::own_news(bool changes_only) const
{
    const auto& leases = fleet_->leases();
    const auto now = state_->loop.now();
    upstream_news news;
    for (const auto index : leases.voted()) {
        const auto id = leases.voters().resource(index);
        const auto found = seen_.find(number_of(id));
        const bool wanted = found != seen_.end() &&
                            (!changes_only || !found->second.told) &&
                            leases.holds(index, now);
        if (wanted)
            news.entries.push_back({id, found->second.report});
    }
    return news;
}

void upstream_monitor::tell_changes()
{
    const auto news = own_news(true);
    if (news.entries.empty())
        return;
    for (const auto& entry : news.entries)
        seen_.at(number_of(entry.upstream)).told = true;
    for (const auto& [seat, member] : fleet_->members().members()) {
        if (member.belief.state != member_state::dead)
            fleet_->send(seat, news);
    }
}

/// Tells everything to members that have just started.
void upstream_monitor::greet_new_members()
{
    const auto& members = fleet_->members();
    if (members.revision() == members_revision_)
        return;
    members_revision_ = members.revision();
    const auto news = own_news(false);
    for (const auto& [seat, member] : members.members()) {
        auto& known = greeted_[seat];
        const bool fresh = member.belief.state == member_state::alive &&
                           member.belief.incarnation > known;
        if (!fresh)
            continue;
        known = member.belief.incarnation;
        if (!news.entries.empty())
            fleet_->send(seat, news);
    }
}

void upstream_monitor::refresh_one()
{
    const auto& members = fleet_->members().members();
    if (members.empty())
        return;
    auto next = members.upper_bound(refreshed_);
    if (next == members.end())
        next = members.begin();
    refreshed_ = next->first;
    const auto news = own_news(false);
    if (!news.entries.empty())
        fleet_->send(refreshed_, news);
}

void upstream_monitor::update_readiness(time_point now)
{
    if (complete_)
        return;
    const auto all = fleet_->leases().in_force()->upstreams.size();
    complete_ = seen_.size() >= all || now - started_ > longest_start;
    state_->waiting_for = complete_ ? std::string{}
                                    : std::to_string(seen_.size()) + " of " +
                                          std::to_string(all) +
                                          " upstreams have reported";
}

} // namespace peridotward
