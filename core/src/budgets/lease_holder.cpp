// The holder's half of lease_controller: when to ask, renew and give up.

#include <peridotward/core/budgets/lease_controller.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr duration longest_hand_back_wait = seconds{60};

} // namespace

void lease_controller::on_message(
    std::string_view from,
    const lease_reply& message,
    time_point now,
    std::vector<outgoing_message>&)
{
    notice_pause(now);
    if (!in_force_)
        return;
    hear_version(from, message.bundle_version, now);
    const auto round = std::find_if(
        rounds_.begin(), rounds_.end(), [&](const sent_round& entry) {
            return entry.number == message.round;
        });
    if (round == rounds_.end())
        return;
    const auto voter = in_force_->find_instance(from);
    for (const auto id : message.granted) {
        const auto upstream = voters_.find(id);
        auto* held = find(upstream);
        if (held == nullptr || message.round < held->first_round)
            continue;
        if (!counts(*held, from))
            continue;
        const auto rank = voters_.of(upstream).rank_of(voter);
        note_grant(*held, rank, round->sent, now);
    }
    for (const auto id : message.held) {
        if (auto* asked = find(voters_.find(id)))
            asked->refused = true;
    }
}

void lease_controller::note_grant(
    lease& held, std::size_t rank, time_point sent, time_point now)
{
    const bool wanted =
        held.phase == lease_phase::asking || held.phase == lease_phase::holding;
    const auto& voters = voters_.of(held.upstream);
    if (!wanted || rank >= voters.count)
        return;
    const auto end = sent + timing_.lease_term - timing_.lease_margin;
    held.granted[rank] = std::max(held.granted[rank], end);
    auto ends = held.granted;
    std::sort(ends.begin(), ends.end(), std::greater<>{});
    const auto valid_until = ends[voters.majority() - 1];
    if (valid_until <= now)
        return;
    const bool broken =
        held.phase == lease_phase::asking || held.valid_until <= now;
    if (broken)
        held.held_since = now;
    held.valid_until = std::max(held.valid_until, valid_until);
    held.phase = lease_phase::holding;
}

bool lease_controller::counts(const lease& held, std::string_view voter) const
{
    return std::all_of(
        held.changes.begin(),
        held.changes.end(),
        [&](const electorate_change& change) { return change.had(voter); });
}

bool lease_controller::better_serves(const lease& held) const noexcept
{
    const auto& voters = voters_.of(held.upstream);
    for (std::size_t rank = 0; rank < held.rank; ++rank) {
        if (serves(voters.instances[rank]))
            return true;
    }
    return false;
}

bool lease_controller::is_vacant(const lease& held, time_point now) const
{
    const auto unused_since = std::max(held.given.until, open_from_);
    return now >= unused_since + timing_.vacancy_wait * (held.rank + 1);
}

bool lease_controller::should_ask(const lease& held, time_point now) const
{
    if (leaving_ || !members_known_ || !serves(own_))
        return false;
    return !better_serves(held) || is_vacant(held, now);
}

void lease_controller::update_hand_back(lease& held, time_point now)
{
    if (!better_serves(held)) {
        held.better_since = {};
        return;
    }
    if (held.better_since == time_point{})
        held.better_since = now;
    if (now - held.better_since < held.hand_back_wait)
        return;
    held.phase = lease_phase::yielding;
    held.better_since = {};
    held.hand_back_wait =
        std::min(held.hand_back_wait * 2, longest_hand_back_wait);
}

void lease_controller::step(
    lease& held, bool busy, time_point now, batch_map& batches)
{
    forget_settled(held, now);
    if (held.phase == lease_phase::idle && should_ask(held, now)) {
        held.phase = lease_phase::asking;
        held.refused = false;
    }
    if (held.phase == lease_phase::holding)
        step_holding(held, now, batches);
    if (held.phase == lease_phase::yielding)
        step_yielding(held, busy, now, batches);
    if (held.phase == lease_phase::asking)
        step_asking(held, now, batches);
}

void lease_controller::step_holding(
    lease& held, time_point now, batch_map& batches)
{
    if (now >= held.valid_until) {
        held.phase = lease_phase::asking;
        held.next_request = now;
        return;
    }
    if (leaving_ || !serves(own_)) {
        held.phase = lease_phase::yielding;
        return;
    }
    update_hand_back(held, now);
    if (held.phase == lease_phase::holding && now >= next_renewal_)
        request(held, now, batches);
}

void lease_controller::step_yielding(
    lease& held, bool busy, time_point now, batch_map& batches)
{
    if (!busy || now >= held.valid_until)
        give_up(held, now, batches);
}

void lease_controller::step_asking(
    lease& held, time_point now, batch_map& batches)
{
    if (now < held.next_request)
        return;
    const auto spread =
        static_cast<std::uint64_t>(timing_.retry_interval / milliseconds{1});
    held.next_request = now + timing_.retry_interval;
    const bool voted = held.given.until > now;
    const bool for_itself = voted && held.given.holder == instance_id_ &&
                            held.given.incarnation == incarnation_;
    const bool may_ask = for_itself || should_ask(held, now);
    if (held.refused) {
        held.next_request += milliseconds{random_.below(spread)};
        give_up(held, now, batches);
    }
    else if (!may_ask || leaving_ || !serves(own_))
        give_up(held, now, batches);
    else if (for_itself || !voted)
        request(held, now, batches);
}

void lease_controller::request(lease& held, time_point now, batch_map& batches)
{
    held.asked = true;
    const auto& voters = voters_.of(held.upstream);
    for (std::size_t rank = 0; rank < voters.count; ++rank) {
        const auto instance = voters.instances[rank];
        if (instance != own_)
            batches[instance_id_of(instance)].wanted.push_back(
                voters_.resource(held.upstream));
        else if (
            give_vote(held, instance_id_, incarnation_, false, now) &&
            counts(held, instance_id_))
            note_grant(held, rank, now, now);
    }
}

void lease_controller::give_up(lease& held, time_point now, batch_map& batches)
{
    const auto& voters = voters_.of(held.upstream);
    for (const auto instance : voters.ranked()) {
        if (instance != own_ && held.asked)
            batches[instance_id_of(instance)].released.push_back(
                voters_.resource(held.upstream));
    }
    take_back(held, instance_id_, incarnation_, now);
    held.phase = lease_phase::idle;
    held.refused = false;
    held.asked = false;
    held.granted = {};
    held.valid_until = {};
    held.first_round = round_ + 2; // after the round of the release
}

void lease_controller::release_all(
    time_point now, std::vector<outgoing_message>& out)
{
    notice_pause(now);
    leaving_ = true;
    if (!in_force_)
        return;
    batch_map batches;
    for (auto& each : leases_) {
        each.next_request = std::min(each.next_request, now);
        step(each, true, now, batches);
    }
    flush(batches, now, out);
}

} // namespace peridotward
