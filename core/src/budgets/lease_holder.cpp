// Holder role of lease_controller: requests, renews and releases leases.

#include <peridotward/core/budgets/lease_controller.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Maximum of `hand_back_wait`. The wait doubles with each hand-back, so that a
/// lease changes its holder less and less often while a preferred voter serves
/// only intermittently.
constexpr duration max_hand_back_wait = seconds{60};

} // namespace

void lease_controller::on_message(
    std::string_view from,
    const lease_reply& message,
    time_point now,
    std::vector<outgoing_message>&)
{
    detect_pause(now);
    if (!in_force_)
        return;
    on_peer_version(from, message.bundle_version, now);
    const auto round = std::find_if(
        rounds_.begin(), rounds_.end(), [&](const sent_round& sent) {
            return sent.number == message.round;
        });
    if (round == rounds_.end())
        return;
    const auto voter = in_force_->find_instance(from);
    for (const auto id : message.granted) {
        const auto upstream = voters_.find(id);
        auto* target = find(upstream);
        if (target == nullptr || message.round < target->first_valid_round)
            continue;
        if (!counts_toward_majority(*target, from))
            continue;
        const auto rank = voters_.of(upstream).rank_of(voter);
        record_grant(*target, rank, round->sent, now);
    }
    for (const auto id : message.held) {
        if (auto* target = find(voters_.find(id)))
            target->held_by_other = true;
    }
}

void lease_controller::record_grant(
    lease& target, std::size_t rank, time_point sent, time_point now)
{
    const bool wants_lease = target.phase == lease_phase::asking ||
                             target.phase == lease_phase::holding;
    const auto& voters = voters_.of(target.upstream);
    if (!wants_lease || rank >= voters.count)
        return;
    const auto end = sent + timing_.lease_term - timing_.lease_margin;
    target.grant_ends[rank] = std::max(target.grant_ends[rank], end);
    auto ends = target.grant_ends;
    std::sort(ends.begin(), ends.end(), std::greater<>{});
    const auto valid_until = ends[voters.majority() - 1];
    if (valid_until <= now)
        return;
    const bool new_hold =
        target.phase == lease_phase::asking || target.valid_until <= now;
    if (new_hold)
        target.held_since = now;
    target.valid_until = std::max(target.valid_until, valid_until);
    target.phase = lease_phase::holding;
}

bool lease_controller::counts_toward_majority(
    const lease& target, std::string_view voter) const
{
    return std::all_of(
        target.voter_changes.begin(),
        target.voter_changes.end(),
        [&](const voter_set_change& change) {
            return change.was_voter(voter);
        });
}

bool lease_controller::preferred_voter_serves(
    const lease& target) const noexcept
{
    const auto& voters = voters_.of(target.upstream);
    for (std::size_t rank = 0; rank < target.rank; ++rank) {
        if (serves(voters.instances[rank]))
            return true;
    }
    return false;
}

bool lease_controller::vacancy_wait_over(
    const lease& target, time_point now) const
{
    const auto unused_since = std::max(target.own_vote.until, votes_from_);
    return now >= unused_since + timing_.vacancy_wait * (target.rank + 1);
}

bool lease_controller::should_request(const lease& target, time_point now) const
{
    if (leaving_ || !members_known_ || !serves(own_index_))
        return false;
    return !preferred_voter_serves(target) || vacancy_wait_over(target, now);
}

void lease_controller::update_hand_back(lease& target, time_point now)
{
    if (!preferred_voter_serves(target)) {
        target.preferred_since = {};
        return;
    }
    if (target.preferred_since == time_point{})
        target.preferred_since = now;
    if (now - target.preferred_since < target.hand_back_wait)
        return;
    target.phase = lease_phase::yielding;
    target.preferred_since = {};
    target.hand_back_wait =
        std::min(target.hand_back_wait * 2, max_hand_back_wait);
}

void lease_controller::step(
    lease& target, bool busy, time_point now, batch_map& batches)
{
    drop_settled_changes(target, now);
    if (target.phase == lease_phase::idle && should_request(target, now)) {
        target.phase = lease_phase::asking;
        target.held_by_other = false;
    }
    if (target.phase == lease_phase::holding)
        step_holding(target, now, batches);
    if (target.phase == lease_phase::yielding)
        step_yielding(target, busy, now, batches);
    if (target.phase == lease_phase::asking)
        step_asking(target, now, batches);
}

void lease_controller::step_holding(
    lease& target, time_point now, batch_map& batches)
{
    if (now >= target.valid_until) {
        target.phase = lease_phase::asking;
        target.next_request = now;
        return;
    }
    if (leaving_ || !serves(own_index_)) {
        target.phase = lease_phase::yielding;
        return;
    }
    update_hand_back(target, now);
    if (target.phase == lease_phase::holding && now >= next_renewal_)
        request(target, now, batches);
}

void lease_controller::step_yielding(
    lease& target, bool busy, time_point now, batch_map& batches)
{
    if (!busy || now >= target.valid_until)
        release(target, now, batches);
}

void lease_controller::step_asking(
    lease& target, time_point now, batch_map& batches)
{
    if (now < target.next_request)
        return;
    const auto spread =
        static_cast<std::uint64_t>(timing_.retry_interval / milliseconds{1});
    target.next_request = now + timing_.retry_interval;
    const bool has_voted = target.own_vote.until > now;
    const bool voted_for_self = has_voted &&
                                target.own_vote.holder == own_id_ &&
                                target.own_vote.incarnation == incarnation_;
    const bool may_request = voted_for_self || should_request(target, now);
    if (target.held_by_other) {
        target.next_request += milliseconds{random_.below(spread)};
        release(target, now, batches);
    }
    else if (!may_request || leaving_ || !serves(own_index_))
        release(target, now, batches);
    else if (voted_for_self || !has_voted)
        request(target, now, batches);
}

void lease_controller::request(
    lease& target, time_point now, batch_map& batches)
{
    target.requested = true;
    const auto& voters = voters_.of(target.upstream);
    for (std::size_t rank = 0; rank < voters.count; ++rank) {
        const auto instance = voters.instances[rank];
        if (instance != own_index_)
            batches[id_of(instance)].wanted.push_back(
                voters_.resource(target.upstream));
        else if (
            try_grant(target, own_id_, incarnation_, false, now) &&
            counts_toward_majority(target, own_id_))
            record_grant(target, rank, now, now);
    }
}

void lease_controller::release(
    lease& target, time_point now, batch_map& batches)
{
    const auto& voters = voters_.of(target.upstream);
    for (const auto instance : voters.ranked()) {
        if (instance != own_index_ && target.requested)
            batches[id_of(instance)].released.push_back(
                voters_.resource(target.upstream));
    }
    revoke_vote(target, own_id_, incarnation_, now);
    target.phase = lease_phase::idle;
    target.held_by_other = false;
    target.requested = false;
    target.grant_ends = {};
    target.valid_until = {};
    target.first_valid_round =
        round_ + 2; // after the round that sends the release
}

void lease_controller::release_all(
    time_point now, std::vector<outgoing_message>& out)
{
    detect_pause(now);
    leaving_ = true;
    if (!in_force_)
        return;
    batch_map batches;
    for (auto& target : leases_) {
        target.next_request = std::min(target.next_request, now);
        // Requests may be in flight under any lease (busy is true): the next
        // `on_timeout` releases the leases without any.
        step(target, true, now, batches);
    }
    flush(batches, now, out);
}

} // namespace peridotward
