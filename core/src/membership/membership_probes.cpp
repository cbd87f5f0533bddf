// The timed half of membership: probes, suspicion and what they carry.

#include <peridotward/core/membership/membership.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

namespace {

/// Most beliefs on one message; at about 130 bytes each they keep a probe
/// under 1 KB.
constexpr std::size_t max_updates = 6;
/// Others asked when a direct probe stays unanswered.
constexpr std::size_t indirect_probes = 3;
/// Members told at once of a death or of the own leaving.
constexpr std::size_t told_at_once = 8;
/// Suspects that are told of their suspicion again in one interval.
constexpr std::size_t max_reminders = 4;
/// Part of the intervals in which a dead member is probed: one in this many.
constexpr std::uint64_t dead_probe_part = 4;
/// A suspicion by hearsay lasts this many times as long.
constexpr int hearsay_factor = 2;

} // namespace

std::vector<member_update> membership::take_updates(member* recipient)
{
    std::vector<member_update> taken;
    const bool unknown = recipient == nullptr || !recipient->introduced;
    if (self_spreads_left_ > 0 || unknown) {
        taken.push_back(self_);
        self_spreads_left_ -= self_spreads_left_ > 0 ? 1 : 0;
    }
    if (recipient != nullptr) {
        recipient->introduced = true;
        // A member hears first what is wrong, so that it can refute it.
        const bool wrong =
            recipient->latest_update.state != member_state::alive ||
            recipient->latest_update.incarnation == 0;
        if (wrong)
            taken.push_back(recipient->latest_update);
    }
    for (std::size_t i = 0; i < fresh_.size() && taken.size() < max_updates;) {
        const auto found = members_.find(fresh_[i]);
        if (found == members_.end() || found->second.spreads_left == 0) {
            fresh_.erase(fresh_.begin() + static_cast<std::ptrdiff_t>(i));
            continue;
        }
        auto& spread = found->second;
        if (&spread != recipient) {
            taken.push_back(spread.latest_update);
            --spread.spreads_left;
        }
        ++i;
    }
    const auto rotated = std::min(fresh_.size(), max_updates);
    std::rotate(
        fresh_.begin(),
        fresh_.begin() + static_cast<std::ptrdiff_t>(rotated),
        fresh_.end());
    return taken;
}

void membership::refill_order()
{
    for (const auto& [id, known] : members_) {
        if (known.latest_update.state != member_state::dead)
            order_.push_back(id);
    }
    for (std::size_t i = order_.size(); i > 1; --i)
        std::swap(order_[i - 1], order_[random_.below(i)]);
}

member* membership::next_target()
{
    if (order_.empty())
        refill_order();
    while (!order_.empty()) {
        const auto found = members_.find(order_.back());
        order_.pop_back();
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
    message.config = config_for(&target);
    message.updates = take_updates(&target);
    out.push_back({target.latest_update.id, std::move(message)});
}

void membership::start_probe(time_point now, std::vector<outgoing_message>& out)
{
    auto* target = next_target();
    if (target == nullptr)
        return;
    const auto sequence = ++sequence_;
    open_.push_back(
        {sequence,
         target->latest_update.id,
         now + timing_.probe_timeout,
         now + timing_.probe_limit,
         false});
    send_probe(*target, sequence, out);
}

void membership::ask_others(
    const open_probe& open, std::vector<outgoing_message>& out)
{
    std::vector<const member*> helpers;
    std::size_t seen = 0;
    for (const auto& [id, known] : members_) {
        const bool usable = id != open.target &&
                            known.latest_update.state == member_state::alive;
        if (!usable)
            continue;
        ++seen;
        if (helpers.size() < indirect_probes)
            helpers.push_back(&known);
        else if (const auto at = random_.below(seen); at < indirect_probes)
            helpers[at] = &known;
    }
    for (const auto* helper : helpers) {
        probe_request message;
        message.sequence = open.sequence;
        message.target = open.target;
        out.push_back({helper->latest_update.id, std::move(message)});
    }
}

void membership::check_probes(
    time_point now, std::vector<outgoing_message>& out)
{
    for (auto& open : open_) {
        if (now >= open.indirect_at && !open.asked_others) {
            open.asked_others = true;
            ask_others(open, out);
            const auto found = members_.find(open.target);
            if (found != members_.end())
                send_probe(found->second, open.sequence, out);
        }
        if (now < open.fails_at)
            continue;
        const auto found = members_.find(open.target);
        if (found != members_.end())
            fail(found->second, now, out);
    }
    std::erase_if(
        open_, [&](const open_probe& open) { return now >= open.fails_at; });
    std::erase_if(relayed_, [&](const relayed_probe& entry) {
        return now >= entry.expires;
    });
}

void membership::fail(
    member& silent, time_point now, std::vector<outgoing_message>& out)
{
    if (silent.latest_update.state == member_state::leaving)
        set_state(silent, member_state::dead, now);
    if (silent.latest_update.state == member_state::alive) {
        set_state(silent, member_state::suspect, now);
        silent.changed = now;
    }
    if (silent.latest_update.state != member_state::suspect)
        return;
    if (!silent.suspected_here)
        silent.changed = now;
    silent.suspected_here = true;
    send_probe(silent, ++sequence_, out);
}

void membership::check_states(
    time_point now, std::vector<outgoing_message>& out)
{
    std::sort(timed_.begin(), timed_.end());
    timed_.erase(std::unique(timed_.begin(), timed_.end()), timed_.end());
    bool buried = false;
    for (const auto& id : std::exchange(timed_, {})) {
        const auto found = members_.find(id);
        if (found == members_.end())
            continue;
        auto& known = found->second;
        const auto limit = timing_.suspicion_time *
                           (known.suspected_here ? 1 : hearsay_factor);
        const bool suspect = known.latest_update.state == member_state::suspect;
        if (suspect && now - known.changed >= limit) {
            set_state(known, member_state::dead, now);
            buried = true;
        }
        if (known.latest_update.state != member_state::alive)
            timed_.push_back(id);
    }
    if (buried)
        tell_some(out);
}

void membership::tell_some(std::vector<outgoing_message>& out)
{
    for (std::size_t i = 0; i < told_at_once; ++i) {
        if (auto* target = next_target())
            send_probe(*target, ++sequence_, out);
    }
}

void membership::probe_extra(std::vector<outgoing_message>& out)
{
    std::size_t reminded = 0;
    for (const auto& id : timed_) {
        const auto found = members_.find(id);
        const bool own_suspect =
            found != members_.end() && found->second.suspected_here &&
            found->second.latest_update.state == member_state::suspect;
        if (own_suspect && ++reminded <= max_reminders)
            send_probe(found->second, ++sequence_, out);
    }
    if (timed_.empty() || random_.below(dead_probe_part) != 0)
        return;
    const auto found = members_.find(timed_[random_.below(timed_.size())]);
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
    if (!started || gap <= timing_.pause_limit / 3)
        return;
    // What went unanswered meanwhile says nothing of the others.
    open_.clear();
    for (const auto& id : timed_) {
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
    check_states(now, out);
    if (now < next_probe_)
        return;
    next_probe_ = now + timing_.probe_interval;
    start_probe(now, out);
    probe_extra(out);
}

time_point membership::next_wakeup() const noexcept
{
    auto next = next_probe_;
    for (const auto& open : open_)
        next = std::min(
            next, open.asked_others ? open.fails_at : open.indirect_at);
    return next;
}

} // namespace peridotward
