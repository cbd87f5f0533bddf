// Voter role of lease_controller: grants and revokes this instance's votes.

#include <peridotward/core/budgets/lease_controller.hpp>

#include <algorithm>

namespace peridotward {

bool lease_controller::accept_round(
    std::string_view from, const lease_request& message)
{
    auto found = peer_rounds_.find(from);
    if (found == peer_rounds_.end())
        found = peer_rounds_.emplace(std::string{from}, peer_round{}).first;
    auto& last = found->second;
    if (message.incarnation < last.incarnation)
        return false;
    const bool same_incarnation = message.incarnation == last.incarnation;
    if (same_incarnation && message.round <= last.number)
        return false;
    last = {message.incarnation, message.round};
    return true;
}

void lease_controller::on_message(
    std::string_view from,
    const lease_request& message,
    time_point now,
    std::vector<outgoing_message>& out)
{
    detect_pause(now);
    if (!in_force_ || !accept_round(from, message))
        return;
    on_peer_version(from, message.bundle_version, now);
    for (const auto id : message.released) {
        if (auto* target = find(voters_.find(id)))
            revoke_vote(*target, from, message.incarnation, now);
    }
    lease_reply reply;
    reply.round = message.round;
    reply.bundle_version = in_force_->version;
    reply.incarnation = incarnation_;
    const bool outdated = message.bundle_version < in_force_->version;
    const bool renewal_only = message.bundle_version > in_force_->version;
    for (const auto id : message.wanted) {
        auto* target = find(voters_.find(id));
        if (target == nullptr || outdated)
            continue;
        if (try_grant(*target, from, message.incarnation, renewal_only, now))
            reply.granted.push_back(id);
        else if (target->own_vote.until > now)
            reply.held.push_back(id);
    }
    if (!message.wanted.empty() || message.released.empty())
        out.push_back({std::string{from}, std::move(reply)});
}

bool lease_controller::try_grant(
    lease& target,
    std::string_view to,
    incarnation_number incarnation,
    bool renewal_only,
    time_point now) const
{
    if (now < votes_from_)
        return false;
    drop_settled_changes(target, now);
    auto& own_vote = target.own_vote;
    const auto size = voters_.of(target.upstream).count;
    if (own_vote.until > now) {
        const bool same_holder =
            own_vote.holder == to && own_vote.incarnation == incarnation;
        // With voter sets of equal size, any majority that counts common voters
        // only also overlaps each majority of the previous voters.
        const bool overlaps = std::all_of(
            target.voter_changes.begin(),
            target.voter_changes.end(),
            [&](const voter_set_change& change) {
                return change.size() == size;
            });
        if (!same_holder || !overlaps)
            return false;
        own_vote.until = now + timing_.lease_term;
        return true;
    }
    if (renewal_only || now < own_vote.earliest_grant ||
        !target.voter_changes.empty())
        return false;
    own_vote.holder = to;
    own_vote.incarnation = incarnation;
    own_vote.until = now + timing_.lease_term;
    return true;
}

void lease_controller::revoke_vote(
    lease& target,
    std::string_view from,
    incarnation_number incarnation,
    time_point now)
{
    auto& own_vote = target.own_vote;
    const bool is_holder =
        own_vote.holder == from && own_vote.incarnation == incarnation;
    if (!is_holder || own_vote.until <= now)
        return;
    own_vote.until = now;
    if (target.phase == lease_phase::asking) {
        target.next_request = now;
        next_wakeup_ = now;
    }
}

} // namespace peridotward
