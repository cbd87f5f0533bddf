#include "owners/attempt_router.hpp"

#include <algorithm>

namespace peridotward {

namespace {

/// Kept back from an owner's time for its answer's way.
constexpr milliseconds answer_way{4};
/// How long after its deadline an owner's answer is still awaited.
constexpr milliseconds overdue_wait{20};

std::uint64_t number_of(attempt_id id)
{
    return static_cast<std::uint64_t>(id);
}

shard_response response_of(sub_reply&& reply)
{
    shard_response response;
    response.outcome = reply.outcome;
    response.sent = reply.sent;
    response.status = reply.status;
    response.report = reply.report;
    response.elapsed = microseconds{reply.elapsed_us};
    if (!reply.not_owner)
        response.free_slots = reply.free_slots;
    response.body = std::move(reply.body);
    return response;
}

} // namespace

std::string attempt_name(const peer_process& entry, attempt_id id)
{
    return entry.seat + "." + std::to_string(entry.incarnation) + "." +
           std::to_string(number_of(id));
}

attempt_router::attempt_router(fleet_runner& fleet, upstream_executor& executor)
    : fleet_{&fleet}, executor_{&executor}, loop_{&fleet.state().loop}
{
    fleet.on<sub_reply>([this](const peer_process& from, sub_reply reply) {
        on_reply(from, std::move(reply));
    });
    fleet.on_unsent([this](const std::string& seat, delivery_ticket ticket) {
        on_unsent(seat, ticket);
    });
    fleet.on_lost([this](const std::string& seat) { on_lost(seat); });
}

std::string attempt_router::name_of_attempt(attempt_id id) const
{
    return attempt_name(
        {fleet_->state().configured.instance.id, fleet_->incarnation()}, id);
}

void attempt_router::send(
    const query_context& job, std::span<const attempt> attempts)
{
    fleet_->follow_state();
    const auto shared = std::make_shared<const query_context>(job);
    owner_map remote;
    std::vector<attempt_id> all;
    time_point latest;
    for (const auto& wanted : attempts) {
        carried each;
        each.wanted = wanted;
        each.job = shared;
        each.upstream = resource_of(job.in_force->at(wanted.upstream));
        auto& kept =
            pending_.insert_or_assign(number_of(wanted.id), std::move(each))
                .first->second;
        route(kept, remote);
        all.push_back(wanted.id);
        latest = std::max(latest, wanted.deadline);
    }
    for (const auto& [owner, ids] : remote)
        send_to(owner, job, ids);
    loop_->at(latest + overdue_wait, [this, all = std::move(all)] {
        end_overdue(all);
    });
}

/// Finds the owner of an attempt and notes it, or ends the attempt.
void attempt_router::route(carried& each, owner_map& remote)
{
    const auto& leases = fleet_->leases();
    const auto index = leases.voters().find(each.upstream);
    const auto owner = index.valid() ? leases.likely_owner(index, loop_->now())
                                     : std::string_view{};
    each.owner = owner;
    if (owner.empty())
        end_later(each.wanted.id, attempt_outcome::not_sent, false);
    else if (owner == fleet_->state().configured.instance.id)
        run_here(each);
    else
        remote[each.owner].push_back(each.wanted.id);
}

void attempt_router::run_here(carried& each)
{
    const auto& wanted = each.wanted;
    execution_request request;
    request.name = name_of_attempt(wanted.id);
    request.upstream = each.upstream;
    request.priority = each.job->priority;
    request.hedge = wanted.hedge;
    request.deadline = wanted.deadline;
    request.range = wanted.range;
    request.snapshot = wanted.snapshot;
    request.text = each.job->criteria;
    each.work = executor_->start(
        std::move(request), [this, id = wanted.id](execution_result result) {
            // Later, since the start may end at once.
            loop_->post([this, id, result = std::move(result)]() mutable {
                if (!result.not_owner)
                    result.response.free_slots = result.free_slots;
                end_now(id, std::move(result.response));
            });
        });
}

void attempt_router::send_to(
    const std::string& owner,
    const query_context& job,
    const std::vector<attempt_id>& ids)
{
    const auto now = loop_->now();
    const auto ticket = fleet_->next_ticket();
    sub_request message;
    message.bundle_version = job.in_force->version;
    message.priority = job.priority;
    message.criteria = job.criteria;
    for (const auto id : ids) {
        auto& each = pending_.at(number_of(id));
        each.ticket = ticket;
        const auto left = std::chrono::duration_cast<microseconds>(
            each.wanted.deadline - answer_way - now);
        message.budget_us = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(left.count(), 0, UINT32_MAX));
        message.attempts.push_back(
            {id,
             each.upstream,
             each.wanted.range,
             each.wanted.snapshot,
             each.wanted.hedge});
    }
    fleet_->send(owner, message, ticket);
}

void attempt_router::cancel(std::span<const attempt_id> attempts)
{
    std::map<std::string, sub_cancel> remote;
    for (const auto id : attempts) {
        const auto found = pending_.find(number_of(id));
        if (found == pending_.end())
            continue;
        const auto& each = found->second;
        if (each.ticket != 0)
            remote[each.owner].attempts.push_back(id);
        else
            executor_->cancel(each.work);
    }
    for (const auto& [owner, message] : remote)
        fleet_->send(owner, message, fleet_->next_ticket());
}

void attempt_router::on_reply(const peer_process& from, sub_reply reply)
{
    const auto found = pending_.find(number_of(reply.id));
    const bool expected = found != pending_.end() &&
                          found->second.ticket != 0 &&
                          found->second.owner == from.seat;
    if (!expected)
        return;
    auto& each = found->second;
    if (reply.not_owner && !reply.sent && reroute(each, from.seat))
        return;
    const auto id = reply.id;
    end_now(id, response_of(std::move(reply)));
}

/// Asks the next likely owner, once for each attempt.
bool attempt_router::reroute(carried& each, const std::string& from)
{
    auto& leases = fleet_->leases();
    const auto now = loop_->now();
    const auto index = leases.voters().find(each.upstream);
    if (!index.valid())
        return false;
    leases.on_not_owner(index, from, now);
    const auto next = leases.likely_owner(index, now);
    const bool useful = !each.rerouted && !each.wanted.hedge && !next.empty() &&
                        next != from && now < each.wanted.deadline;
    if (!useful)
        return false;
    each.rerouted = true;
    each.ticket = 0;
    owner_map remote;
    const auto job = each.job;
    route(each, remote);
    for (const auto& [owner, ids] : remote)
        send_to(owner, *job, ids);
    return true;
}

void attempt_router::on_unsent(const std::string& seat, delivery_ticket ticket)
{
    std::vector<attempt_id> ended;
    for (const auto& [number, each] : pending_) {
        if (each.ticket == ticket && each.owner == seat)
            ended.push_back(each.wanted.id);
    }
    for (const auto id : ended)
        end_later(id, attempt_outcome::not_sent, false);
}

void attempt_router::on_lost(const std::string& seat)
{
    std::vector<attempt_id> ended;
    for (const auto& [number, each] : pending_) {
        if (each.ticket != 0 && each.owner == seat)
            ended.push_back(each.wanted.id);
    }
    for (const auto id : ended)
        end_later(id, attempt_outcome::broken, true);
}

/// Ends what no owner has answered. Attempts that run here end by themselves.
void attempt_router::end_overdue(const std::vector<attempt_id>& ids)
{
    for (const auto id : ids) {
        const auto found = pending_.find(number_of(id));
        if (found != pending_.end() && found->second.ticket != 0)
            end_later(id, attempt_outcome::timed_out, true);
    }
}

void attempt_router::end_later(
    attempt_id id, attempt_outcome outcome, bool sent)
{
    loop_->post([this, id, outcome, sent] {
        shard_response response;
        response.outcome = outcome;
        response.sent = sent;
        end_now(id, std::move(response));
    });
}

void attempt_router::end_now(attempt_id id, shard_response response)
{
    auto node = pending_.extract(number_of(id));
    if (!node.empty())
        ended(node.mapped().wanted, std::move(response));
}

} // namespace peridotward
