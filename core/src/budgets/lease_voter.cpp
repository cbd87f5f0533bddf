// The voter's half of lease_controller: whom the own seat's votes go to.

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
    const bool same_life = message.incarnation == last.incarnation;
    if (same_life && message.round <= last.number)
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
    notice_pause(now);
    if (!in_force_ || !accept_round(from, message))
        return;
    hear_version(from, message.bundle_version, now);
    for (const auto id : message.released) {
        if (auto* given = find(voters_.find(id)))
            take_back(*given, from, message.incarnation, now);
    }
    lease_reply reply;
    reply.round = message.round;
    reply.bundle_version = in_force_->version;
    reply.incarnation = incarnation_;
    const bool outdated = message.bundle_version < in_force_->version;
    const bool renewal_only = message.bundle_version > in_force_->version;
    for (const auto id : message.wanted) {
        auto* asked = find(voters_.find(id));
        if (asked == nullptr || outdated)
            continue;
        if (give_vote(*asked, from, message.incarnation, renewal_only, now))
            reply.granted.push_back(id);
        else if (asked->given.until > now)
            reply.held.push_back(id);
    }
    if (!message.wanted.empty() || message.released.empty())
        out.push_back({std::string{from}, std::move(reply)});
}

bool lease_controller::give_vote(
    lease& asked,
    std::string_view to,
    incarnation_number incarnation,
    bool renewal_only,
    time_point now) const
{
    if (now < open_from_)
        return false;
    forget_settled(asked, now);
    auto& given = asked.given;
    const auto size = voters_.of(asked.upstream).count;
    if (given.until > now) {
        const bool same_holder =
            given.holder == to && given.incarnation == incarnation;
        // With equal sizes, a majority of common voters also overlaps each
        // majority of the older voters.
        const bool overlaps = std::all_of(
            asked.changes.begin(),
            asked.changes.end(),
            [&](const electorate_change& change) {
                return change.size() == size;
            });
        if (!same_holder || !overlaps)
            return false;
        given.until = now + timing_.lease_term;
        return true;
    }
    if (renewal_only || now < given.closed_until || !asked.changes.empty())
        return false;
    given.holder = to;
    given.incarnation = incarnation;
    given.until = now + timing_.lease_term;
    return true;
}

void lease_controller::take_back(
    lease& given,
    std::string_view from,
    incarnation_number incarnation,
    time_point now)
{
    auto& last = given.given;
    const bool theirs = last.holder == from && last.incarnation == incarnation;
    if (!theirs || last.until <= now)
        return;
    last.until = now;
    if (given.phase == lease_phase::asking) {
        given.next_request = now;
        next_wakeup_ = now;
    }
}

} // namespace peridotward
