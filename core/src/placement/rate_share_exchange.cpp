#include <peridotward/core/placement/rate_share_exchange.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

void rate_share_exchange::add_holders(
    std::vector<std::string>& asked,
    const replica& target,
    const fleet_view& fleet)
{
    auto instances = fleet.others;
    instances.push_back(fleet.self);
    auto holders =
        rate_share::holders(*target.rate_limit, target.published.id, instances);
    while (!holders.empty() && asked.size() < max_asked) {
        std::swap(holders[random_->below(holders.size())], holders.back());
        auto& holder = holders.back();
        if (holder != fleet.self &&
            std::find(asked.begin(), asked.end(), holder) == asked.end())
            asked.push_back(std::move(holder));
        holders.pop_back();
    }
}

bool rate_share_exchange::ask(
    const replica& target,
    rate_share& share,
    const fleet_view& fleet,
    time_point now,
    std::vector<outgoing_message>& out)
{
    auto& state = requests_[target.number];
    if (now < state.next_renewal)
        return false;
    auto asked = share.due_renewals(
        selector_->share_of_rate(target, fleet), max_asked, now);
    std::uint32_t wanted = 0;
    if (now >= state.next) {
        wanted = share.take_denied();
        if (wanted > 0)
            add_holders(asked, target, fleet);
    }
    if (asked.empty())
        return false;
    state.next_renewal = now + min_interval;
    if (wanted > 0) {
        state.next = now + state.interval;
        state.interval = std::min<duration>(state.interval * 2, max_interval);
    }
    state.open.clear();
    const auto count = static_cast<std::uint32_t>(asked.size());
    for (auto& to : asked) {
        state.open.push_back({++last_sequence_, to, now});
        out.push_back(
            {std::move(to),
             rate_share_request{
                 last_sequence_,
                 target.published.id,
                 (wanted + count - 1) / count,
                 static_cast<std::uint64_t>(*target.rate_limit * 1000)}});
    }
    return true;
}

void rate_share_exchange::poll(
    const fleet_view& fleet, time_point now, std::vector<outgoing_message>& out)
{
    bool asked = false;
    for (auto& [number, share] : selector_->rate_shares()) {
        const auto& target = catalog_->at(number);
        if (!target.rate_limit) {
            for (auto& partner : share.take_partners())
                out.push_back(
                    {std::move(partner),
                     rate_share_grant{0, target.published.id, 0, false}});
        }
        else if (!asked)
            asked = ask(target, share, fleet, now, out);
    }
}

void rate_share_exchange::on_message(
    std::string_view from,
    const rate_share_request& message,
    const fleet_view& fleet,
    time_point now,
    std::vector<outgoing_message>& out)
{
    const auto number = catalog_->find(message.replica);
    if (!number)
        return;
    auto& target = catalog_->at(*number);
    // An instance that sends nothing there has not heard of the limit.
    if (!target.rate_limit && !target.rate_limit_ended) {
        target.rate_limit = static_cast<double>(message.limit_milli) / 1000;
        if (on_limit_changed)
            on_limit_changed(*number, from);
    }
    rate_share_grant answer{message.sequence, message.replica, 0, true};
    if (target.rate_limit)
        answer.granted = selector_->rate_shares()[*number].grant(
            selector_->share_of_rate(target, fleet), from, message.wanted, now);
    else
        answer.limited = false;
    out.push_back({std::string{from}, std::move(answer)});
}

void rate_share_exchange::on_message(
    std::string_view from, const rate_share_grant& message)
{
    const auto number = catalog_->find(message.replica);
    if (!number)
        return;
    if (!message.limited) {
        // Should the replica name a limit again, the next answer says so.
        auto& target = catalog_->at(*number);
        target.rate_limit_ended = true;
        if (std::exchange(target.rate_limit, std::nullopt) && on_limit_changed)
            on_limit_changed(*number, from);
        return;
    }
    auto& state = requests_[*number];
    const auto answered = std::find_if(
        state.open.begin(), state.open.end(), [&](const open_request& each) {
            return each.sequence == message.sequence && each.to == from;
        });
    if (answered == state.open.end())
        return;
    if (message.granted > 0) {
        state.interval = min_interval;
        state.next = answered->sent_at + min_interval;
        selector_->rate_shares()[*number].receive(
            from, message.granted, answered->sent_at + rate_share::grant_term);
    }
    state.open.erase(answered);
}

} // namespace peridotward
