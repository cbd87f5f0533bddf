#include <peridotward/core/membership/membership.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// An update is sent on this many messages per doubling of the fleet's size.
constexpr std::uint32_t transmissions_per_doubling = 3;

/// Precedence of states within one incarnation and refutation: a higher one
/// overrides a lower one.
int rank_of(member_state state) noexcept
{
    switch (state) {
    case member_state::alive:
        return 0;
    case member_state::suspect:
        return 1;
    case member_state::leaving:
        return 2;
    case member_state::dead:
        return 3;
    }
    return 0;
}

bool overrides(const member_update& update, const member_update& known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    if (update.refutation != known.refutation)
        return update.refutation > known.refutation;
    return rank_of(update.state) > rank_of(known.state);
}

} // namespace

membership::membership(
    member_update self, std::uint64_t seed, fleet_timing timing)
    : self_{std::move(self)}, timing_{timing}, random_{seed}
{
    self_.state = member_state::alive;
}

void membership::on_list(const instance_list& list, time_point now)
{
    for (const auto& entry : list.instances) {
        if (entry.id == self_.id)
            continue;
        const auto found = members_.find(entry.id);
        const bool leaving = entry.state == listed_state::leaving;
        if (found == members_.end()) {
            if (leaving)
                continue;
            member added;
            added.latest_update.id = entry.id;
            added.latest_update.domain = entry.domain;
            added.latest_update.peers = entry.peers;
            added.latest_update.callers = entry.callers;
            added.changed = now;
            members_.emplace(entry.id, std::move(added));
            ++revision_;
        }
        else if (!found->second.message_received) {
            found->second.latest_update.peers = entry.peers;
            found->second.latest_update.callers = entry.callers;
        }
    }
}

void membership::on_configured_instances(const bundle& in_force)
{
    const auto erased = std::erase_if(members_, [&](const auto& entry) {
        return !in_force.find_instance(entry.first).valid();
    });
    if (erased > 0)
        ++revision_;
}

const member* membership::find(std::string_view instance_id) const noexcept
{
    const auto found = members_.find(instance_id);
    return found == members_.end() ? nullptr : &found->second;
}

bool membership::serves(std::string_view instance_id) const noexcept
{
    if (instance_id == self_.id)
        return self_.ready && !superseded_ &&
               self_.state == member_state::alive;
    const auto* known = find(instance_id);
    return known != nullptr && known->latest_update.ready &&
           known->latest_update.state == member_state::alive;
}

config_summary membership::config_summary_for(const member* recipient) const
{
    auto summary = config_;
    if (recipient != nullptr && recipient->config.version == config_.version)
        summary.digest.clear();
    return summary;
}

void membership::set_config(config_summary in_force)
{
    if (in_force.version > highest_.version)
        highest_ = in_force;
    config_ = std::move(in_force);
}

void membership::set_ready(bool ready, time_point)
{
    if (self_.ready == ready)
        return;
    self_.ready = ready;
    ++self_.refutation;
    remaining_self_transmissions_ = transmission_count();
    ++revision_;
}

void membership::set_load(member_load load)
{
    if (self_.load == load)
        return;
    self_.load = load;
    ++self_.refutation;
    remaining_self_transmissions_ = transmission_count();
    ++revision_;
}

void membership::leave(time_point now, std::vector<outgoing_message>& out)
{
    self_.state = member_state::leaving;
    self_.ready = false;
    ++self_.refutation;
    remaining_self_transmissions_ = transmission_count();
    ++revision_;
    send_immediate_probes(out);
    next_probe_ = std::min(next_probe_, now);
}

void membership::reclaim_identity() noexcept
{
    if (!superseded_)
        return;
    self_.incarnation = superseded_by_ + 1;
    self_.refutation = 0;
    remaining_self_transmissions_ = transmission_count();
    superseded_ = false;
    ++revision_;
}

std::uint32_t membership::transmission_count() const noexcept
{
    std::uint32_t doublings = 1;
    for (auto size = members_.size(); size > 1; size /= 2)
        ++doublings;
    return doublings * transmissions_per_doubling;
}

void membership::schedule_dissemination(member& changed)
{
    if (changed.remaining_transmissions == 0)
        to_disseminate_.push_back(changed.latest_update.id);
    changed.remaining_transmissions = transmission_count();
}

void membership::set_state(member& changed, member_state state, time_point now)
{
    if (changed.latest_update.state == state)
        return;
    changed.latest_update.state = state;
    changed.changed = now;
    ++revision_;
    if (state != member_state::alive)
        not_alive_.push_back(changed.latest_update.id);
    schedule_dissemination(changed);
}

void membership::merge_update(const member_update& update, time_point now)
{
    if (update.id == self_.id) {
        merge_self_update(update);
        return;
    }
    auto found = members_.find(update.id);
    const bool added = found == members_.end();
    if (added && update.state == member_state::dead)
        return;
    if (added)
        found = members_.emplace(update.id, member{}).first;
    auto& known = found->second;
    if (!added && !overrides(update, known.latest_update))
        return;
    if (update.incarnation != known.latest_update.incarnation) {
        known.message_received = false;
        known.self_update_sent = false;
        known.config = {};
    }
    known.latest_update = update;
    known.changed = now;
    known.suspected_locally = false;
    ++revision_;
    if (update.state != member_state::alive)
        not_alive_.push_back(update.id);
    schedule_dissemination(known);
}

void membership::merge_self_update(const member_update& update)
{
    if (update.incarnation > self_.incarnation) {
        superseded_ = true;
        superseded_by_ = std::max(superseded_by_, update.incarnation);
        ++revision_;
        return;
    }
    // This also holds for an update by an instance that does not know of this
    // start yet.
    const bool needs_refutation =
        update.incarnation < self_.incarnation ||
        (update.refutation >= self_.refutation && update.state != self_.state);
    if (!needs_refutation)
        return;
    if (update.incarnation == self_.incarnation)
        self_.refutation = update.refutation + 1;
    remaining_self_transmissions_ = transmission_count();
}

void membership::merge_message(
    std::string_view from,
    const config_summary& config,
    const std::vector<member_update>& updates,
    time_point now)
{
    const bool adds_digest =
        config.version == highest_.version && highest_.digest.empty();
    if (config.version > highest_.version || adds_digest)
        highest_ = config;
    for (const auto& update : updates)
        merge_update(update, now);
    const auto found = members_.find(from);
    if (found == members_.end())
        return;
    found->second.message_received = true;
    found->second.config = config;
}

void membership::on_message(
    std::string_view from,
    const probe& message,
    time_point now,
    std::vector<outgoing_message>& out)
{
    resume_after_pause(now);
    merge_message(from, message.config, message.updates, now);
    const auto found = members_.find(from);
    auto* requester = found == members_.end() ? nullptr : &found->second;
    probe_ack answer;
    answer.sequence = message.sequence;
    answer.on_behalf_of = message.on_behalf_of;
    answer.config = config_summary_for(requester);
    answer.updates = collect_updates(requester);
    if (requester == nullptr) {
        // An update of incarnation 0 makes the sender of the probe introduce
        // itself.
        member_update unknown_sender;
        unknown_sender.id = from;
        answer.updates.push_back(std::move(unknown_sender));
    }
    out.push_back({std::string{from}, std::move(answer)});
}

void membership::on_message(
    std::string_view from,
    const probe_ack& message,
    time_point now,
    std::vector<outgoing_message>& out)
{
    resume_after_pause(now);
    merge_message(from, message.config, message.updates, now);
    std::erase_if(pending_probes_, [&](const pending_probe& pending) {
        return pending.sequence == message.sequence;
    });
    const auto relayed = std::find_if(
        relayed_.begin(), relayed_.end(), [&](const relayed_probe& entry) {
            return entry.sequence == message.sequence;
        });
    if (relayed == relayed_.end())
        return;
    probe_ack answer;
    answer.sequence = relayed->original_sequence;
    answer.on_behalf_of = std::string{from};
    answer.config = config_summary_for(find(relayed->requester));
    out.push_back({relayed->requester, std::move(answer)});
    relayed_.erase(relayed);
}

void membership::on_message(
    std::string_view from,
    const probe_request& message,
    time_point now,
    std::vector<outgoing_message>& out)
{
    resume_after_pause(now);
    const auto found = members_.find(message.target);
    if (found == members_.end())
        return;
    const auto sequence = ++sequence_;
    relayed_.push_back(
        {sequence,
         message.sequence,
         std::string{from},
         now + timing_.probe_interval * 2});
    send_probe(found->second, sequence, out);
}

} // namespace peridotward
