// The timed part of membership: probes, suspicion and dissemination.

#include <peridotward/core/membership/membership.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

namespace {

/// Maximum number of updates on one message; at about 130 bytes each they keep
/// a probe under 1 KB.
constexpr std::size_t max_updates_per_message = 6;
/// Members asked for an indirect probe when a direct probe is not answered.
constexpr std::size_t indirect_probe_count = 3;
/// Members probed at once to report a death or that this instance leaves.
constexpr std::size_t immediate_probe_count = 8;
/// Maximum number of suspects probed again in one interval, which reports the
/// suspicion to them.
constexpr std::size_t max_suspects_probed_again = 4;
/// A dead member is probed in one of this many intervals on average.
constexpr std::uint64_t dead_probe_period = 4;
/// A suspicion that only gossip reported lasts this many times as long as one
/// by an own probe.
constexpr int gossip_suspicion_factor = 2;

} // namespace

std::vector<member_update> membership::collect_updates(member* recipient)
{
    std::vector<member_update> collected;
    const bool unknown = recipient == nullptr || !recipient->self_update_sent;
    if (remaining_self_transmissions_ > 0 || unknown) {
        collected.push_back(self_);
        remaining_self_transmissions_ -=
            remaining_self_transmissions_ > 0 ? 1 : 0;
    }
    if (recipient != nullptr) {
        recipient->self_update_sent = true;
        // A state other than alive is sent to that member ahead of the updates
        // on other members, so that the member can refute the state.
        const bool may_refute =
            recipient->latest_update.state != member_state::alive ||
            recipient->latest_update.incarnation == 0;
        if (may_refute)
            collected.push_back(recipient->latest_update);
    }
    for (std::size_t i = 0; i < to_disseminate_.size() &&
                            collected.size() < max_updates_per_message;) {
        const auto found = members_.find(to_disseminate_[i]);
        if (found == members_.end() ||
            found->second.remaining_transmissions == 0) {
            to_disseminate_.erase(
                to_disseminate_.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        auto& disseminated = found->second;
        if (&disseminated != recipient) {
            collected.push_back(disseminated.latest_update);
            --disseminated.remaining_transmissions;
        }
        ++i;
    }
    const auto rotated =
        std::min(to_disseminate_.size(), max_updates_per_message);
    std::rotate(
        to_disseminate_.begin(),
        to_disseminate_.begin() + static_cast<std::ptrdiff_t>(rotated),
        to_disseminate_.end());
    return collected;
}

void membership::refill_probe_order()
{
    for (const auto& [id, known] : members_) {
        if (known.latest_update.state != member_state::dead)
            probe_order_.push_back(id);
    }
    for (std::size_t i = probe_order_.size(); i > 1; --i)
        std::swap(probe_order_[i - 1], probe_order_[random_.below(i)]);
}

member* membership::next_probe_target()
{
    if (probe_order_.empty())
        refill_probe_order();
    while (!probe_order_.empty()) {
        const auto found = members_.find(probe_order_.back());
        probe_order_.pop_back();
        const bool usable =
            found != members_.end() &&
            found->second.latest_update.state != member_state::dead;
        if (usable)
            return &found->second;
    }
    return nullptr;
}

void membership::send_probe(
    member& target, std::uint64_t sequence, std::vector<outgoing_message>& out)
{
    probe message;
    message.sequence = sequence;
    message.config = config_summary_for(&target);
    message.updates = collect_updates(&target);
    out.push_back({target.latest_update.id, std::move(message)});
}

void membership::start_probe(time_point now, std::vector<outgoing_message>& out)
{
    auto* target = next_probe_target();
    if (target == nullptr)
        return;
    const auto sequence = ++sequence_;
    pending_probes_.push_back(
        {sequence,
         target->latest_update.id,
         now + timing_.probe_timeout,
         now + timing_.probe_limit,
         false});
    send_probe(*target, sequence, out);
}

void membership::send_indirect_probes(
    const pending_probe& pending, std::vector<outgoing_message>& out)
{
    std::vector<const member*> helpers;
    std::size_t usable_count = 0;
    for (const auto& [id, known] : members_) {
        const bool usable = id != pending.target &&
                            known.latest_update.state == member_state::alive;
        if (!usable)
            continue;
        ++usable_count;
        if (helpers.size() < indirect_probe_count)
            helpers.push_back(&known);
        else if (const auto at = random_.below(usable_count);
                 at < indirect_probe_count)
            helpers[at] = &known;
    }
    for (const auto* helper : helpers) {
        probe_request message;
        message.sequence = pending.sequence;
        message.target = pending.target;
        out.push_back({helper->latest_update.id, std::move(message)});
    }
}

void membership::check_probes(
    time_point now, std::vector<outgoing_message>& out)
{
    for (auto& pending : pending_probes_) {
        if (now >= pending.indirect_at && !pending.indirect_sent) {
            pending.indirect_sent = true;
            send_indirect_probes(pending, out);
            const auto found = members_.find(pending.target);
            if (found != members_.end())
                send_probe(found->second, pending.sequence, out);
        }
        if (now < pending.fails_at)
            continue;
        const auto found = members_.find(pending.target);
        if (found != members_.end())
            on_probe_failure(found->second, now, out);
    }
    std::erase_if(pending_probes_, [&](const pending_probe& pending) {
        return now >= pending.fails_at;
    });
    std::erase_if(relayed_, [&](const relayed_probe& entry) {
        return now >= entry.expires;
    });
}

void membership::on_probe_failure(
    member& suspect_member, time_point now, std::vector<outgoing_message>& out)
{
    if (suspect_member.latest_update.state == member_state::leaving)
        set_state(suspect_member, member_state::dead, now);
    if (suspect_member.latest_update.state == member_state::alive) {
        set_state(suspect_member, member_state::suspect, now);
        suspect_member.changed = now;
    }
    if (suspect_member.latest_update.state != member_state::suspect)
        return;
    if (!suspect_member.suspected_locally)
        suspect_member.changed = now;
    suspect_member.suspected_locally = true;
    send_probe(suspect_member, ++sequence_, out);
}

void membership::expire_suspicions(
    time_point now, std::vector<outgoing_message>& out)
{
    std::sort(not_alive_.begin(), not_alive_.end());
    not_alive_.erase(
        std::unique(not_alive_.begin(), not_alive_.end()), not_alive_.end());
    bool any_died = false;
    for (const auto& id : std::exchange(not_alive_, {})) {
        const auto found = members_.find(id);
        if (found == members_.end())
            continue;
        auto& known = found->second;
        const auto limit =
            timing_.suspicion_time *
            (known.suspected_locally ? 1 : gossip_suspicion_factor);
        const bool suspect = known.latest_update.state == member_state::suspect;
        if (suspect && now - known.changed >= limit) {
            set_state(known, member_state::dead, now);
            any_died = true;
        }
        if (known.latest_update.state != member_state::alive)
            not_alive_.push_back(id);
    }
    if (any_died)
        send_immediate_probes(out);
}

void membership::send_immediate_probes(std::vector<outgoing_message>& out)
{
    for (std::size_t i = 0; i < immediate_probe_count; ++i) {
        if (auto* target = next_probe_target())
            send_probe(*target, ++sequence_, out);
    }
}

void membership::probe_suspect_and_dead(std::vector<outgoing_message>& out)
{
    std::size_t suspects_probed = 0;
    for (const auto& id : not_alive_) {
        const auto found = members_.find(id);
        const bool own_suspect =
            found != members_.end() && found->second.suspected_locally &&
            found->second.latest_update.state == member_state::suspect;
        if (own_suspect && ++suspects_probed <= max_suspects_probed_again)
            send_probe(found->second, ++sequence_, out);
    }
    if (not_alive_.empty() || random_.below(dead_probe_period) != 0)
        return;
    const auto found =
        members_.find(not_alive_[random_.below(not_alive_.size())]);
    const bool dead = found != members_.end() &&
                      found->second.latest_update.state == member_state::dead;
    if (dead)
        send_probe(found->second, ++sequence_, out);
}

void membership::resume_after_pause(time_point now)
{
    const bool started = last_call_ != time_point{};
    const auto gap = now - last_call_;
    last_call_ = std::max(now, last_call_);
    // A gap far shorter than `pause_limit` lets probes expire already: a third
    // of its default is 500 ms, and `probe_limit` is 300 ms.
    if (!started || gap <= timing_.pause_limit / 3)
        return;
    // Probes that expired during the pause of this process do not show that
    // other instances failed.
    pending_probes_.clear();
    for (const auto& id : not_alive_) {
        const auto found = members_.find(id);
        if (found != members_.end() &&
            found->second.latest_update.state == member_state::suspect)
            found->second.changed = now;
    }
}

void membership::on_timeout(time_point now, std::vector<outgoing_message>& out)
{
    resume_after_pause(now);
    check_probes(now, out);
    expire_suspicions(now, out);
    if (now < next_probe_)
        return;
    next_probe_ = now + timing_.probe_interval;
    start_probe(now, out);
    probe_suspect_and_dead(out);
}

time_point membership::next_wakeup() const noexcept
{
    auto next = next_probe_;
    for (const auto& pending : pending_probes_)
        next = std::min(
            next,
            pending.indirect_sent ? pending.fails_at : pending.indirect_at);
    return next;
}

} // namespace peridotward
