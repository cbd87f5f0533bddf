#include <peridotward/core/membership/membership.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Each belief rides on this many messages for each doubling of the fleet.
constexpr std::uint32_t spreads_per_doubling = 3;

/// The order of beliefs of one incarnation and refutation: later ones win.
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

bool overrides(const member_update& heard, const member_update& known)
{
    if (heard.incarnation != known.incarnation)
        return heard.incarnation > known.incarnation;
    if (heard.refutation != known.refutation)
        return heard.refutation > known.refutation;
    return rank_of(heard.state) > rank_of(known.state);
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
        else if (!found->second.heard) {
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

config_summary membership::config_for(const member* recipient) const
{
    auto told = config_;
    if (recipient != nullptr && recipient->config.version == config_.version)
        told.digest.clear();
    return told;
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
    self_spreads_left_ = spread_count();
    ++revision_;
}

void membership::set_load(member_load load)
{
    if (self_.load == load)
        return;
    self_.load = load;
    ++self_.refutation;
    self_spreads_left_ = spread_count();
    ++revision_;
}

void membership::leave(time_point now, std::vector<outgoing_message>& out)
{
    self_.state = member_state::leaving;
    self_.ready = false;
    ++self_.refutation;
    self_spreads_left_ = spread_count();
    ++revision_;
    tell_some(out);
    next_probe_ = std::min(next_probe_, now);
}

void membership::reclaim_identity() noexcept
{
    if (!superseded_)
        return;
    self_.incarnation = superseded_by_ + 1;
    self_.refutation = 0;
    self_spreads_left_ = spread_count();
    superseded_ = false;
    ++revision_;
}

std::uint32_t membership::spread_count() const noexcept
{
    std::uint32_t doublings = 1;
    for (auto size = members_.size(); size > 1; size /= 2)
        ++doublings;
    return doublings * spreads_per_doubling;
}

void membership::schedule_spread(member& changed)
{
    if (changed.spreads_left == 0)
        fresh_.push_back(changed.latest_update.id);
    changed.spreads_left = spread_count();
}

void membership::set_state(member& changed, member_state state, time_point now)
{
    if (changed.latest_update.state == state)
        return;
    changed.latest_update.state = state;
    changed.changed = now;
    ++revision_;
    if (state != member_state::alive)
        timed_.push_back(changed.latest_update.id);
    schedule_spread(changed);
}

void membership::merge(const member_update& heard, time_point now)
{
    if (heard.id == self_.id) {
        merge_own(heard);
        return;
    }
    auto found = members_.find(heard.id);
    const bool added = found == members_.end();
    if (added && heard.state == member_state::dead)
        return;
    if (added)
        found = members_.emplace(heard.id, member{}).first;
    auto& known = found->second;
    if (!added && !overrides(heard, known.latest_update))
        return;
    if (heard.incarnation != known.latest_update.incarnation) {
        known.heard = false;
        known.introduced = false;
        known.config = {};
    }
    known.latest_update = heard;
    known.changed = now;
    known.suspected_here = false;
    ++revision_;
    if (heard.state != member_state::alive)
        timed_.push_back(heard.id);
    schedule_spread(known);
}

void membership::merge_own(const member_update& heard)
{
    if (heard.incarnation > self_.incarnation) {
        superseded_ = true;
        superseded_by_ = std::max(superseded_by_, heard.incarnation);
        ++revision_;
        return;
    }
    // Also true of another instance that does not know this start yet.
    const bool wrong =
        heard.incarnation < self_.incarnation ||
        (heard.refutation >= self_.refutation && heard.state != self_.state);
    if (!wrong)
        return;
    if (heard.incarnation == self_.incarnation)
        self_.refutation = heard.refutation + 1;
    self_spreads_left_ = spread_count();
}

void membership::merge_all(
    std::string_view from,
    const config_summary& config,
    const std::vector<member_update>& updates,
    time_point now)
{
    const bool completes =
        config.version == highest_.version && highest_.digest.empty();
    if (config.version > highest_.version || completes)
        highest_ = config;
    for (const auto& heard : updates)
        merge(heard, now);
    const auto found = members_.find(from);
    if (found == members_.end())
        return;
    found->second.heard = true;
    found->second.config = config;
}

void membership::on_message(
    std::string_view from,
    const probe& message,
    time_point now,
    std::vector<outgoing_message>& out)
{
    resume_after_pause(now);
    merge_all(from, message.config, message.updates, now);
    const auto found = members_.find(from);
    auto* asker = found == members_.end() ? nullptr : &found->second;
    probe_ack answer;
    answer.sequence = message.sequence;
    answer.on_behalf_of = message.on_behalf_of;
    answer.config = config_for(asker);
    answer.updates = take_updates(asker);
    if (asker == nullptr) {
        // Tells the asker that it is not known here, so it says who it is.
        member_update stranger;
        stranger.id = from;
        answer.updates.push_back(std::move(stranger));
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
    merge_all(from, message.config, message.updates, now);
    std::erase_if(open_, [&](const open_probe& open) {
        return open.sequence == message.sequence;
    });
    const auto relayed = std::find_if(
        relayed_.begin(), relayed_.end(), [&](const relayed_probe& entry) {
            return entry.sequence == message.sequence;
        });
    if (relayed == relayed_.end())
        return;
    probe_ack answer;
    answer.sequence = relayed->original;
    answer.on_behalf_of = std::string{from};
    answer.config = config_for(find(relayed->asker));
    out.push_back({relayed->asker, std::move(answer)});
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
