#include "owners/attempt_router.hpp"

#include <algorithm>

namespace peridotward {

namespace {

/// Subtracted from the budget sent to an owner: the travel time of its reply.
constexpr milliseconds reply_travel_time{4};
/// How long after its deadline an attempt still waits for the owner's reply.
constexpr milliseconds reply_grace{20};

std::uint64_t to_integer(attempt_id id)
{
    return static_cast<std::uint64_t>(id);
}

shard_response make_response(sub_reply&& reply)
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

std::string make_request_id(const peer_process& sender, attempt_id id)
{
    return sender.instance_id + "." + std::to_string(sender.incarnation) + "." +
           std::to_string(to_integer(id));
}

attempt_router::attempt_router(fleet_runner& fleet, upstream_executor& executor)
    : fleet_{&fleet}, executor_{&executor}, loop_{&fleet.state().loop}
{
    fleet.on<sub_reply>([this](const peer_process& from, sub_reply reply) {
        on_reply(from, std::move(reply));
    });
    fleet.on_unsent(
        [this](const std::string& instance_id, delivery_ticket ticket) {
            on_unsent(instance_id, ticket);
        });
    fleet.on_connection_lost([this](const std::string& instance_id) {
        on_connection_lost(instance_id);
    });
}

std::string attempt_router::request_id_of(attempt_id id) const
{
    return make_request_id(
        {fleet_->state().configured.instance.id, fleet_->incarnation()}, id);
}

void attempt_router::send(
    const query_context& context, std::span<const attempt> attempts)
{
    fleet_->apply_state_changes();
    const auto shared_context = std::make_shared<const query_context>(context);
    owner_groups remote;
    std::vector<attempt_id> all_ids;
    time_point latest_deadline;
    for (const auto& spec : attempts) {
        pending_attempt pending;
        pending.spec = spec;
        pending.context = shared_context;
        pending.upstream = resource_of(context.in_force->at(spec.upstream));
        auto& inserted =
            pending_.insert_or_assign(to_integer(spec.id), std::move(pending))
                .first->second;
        route(inserted, remote);
        all_ids.push_back(spec.id);
        latest_deadline = std::max(latest_deadline, spec.deadline);
    }
    for (const auto& [owner, ids] : remote)
        send_to(owner, context, ids);
    loop_->schedule_at(
        latest_deadline + reply_grace,
        [this, ids = std::move(all_ids)] { expire_unanswered(ids); });
}

/// Executes an attempt here if this instance is the likely owner, adds it to
/// the owner's group in `remote`, or completes it as `not_sent` without an
/// owner.
void attempt_router::route(pending_attempt& pending, owner_groups& remote)
{
    const auto& leases = fleet_->leases();
    const auto index = leases.voters().find(pending.upstream);
    const auto owner = index.valid() ? leases.likely_owner(index, loop_->now())
                                     : std::string_view{};
    pending.owner = owner;
    if (owner.empty())
        post_completion(pending.spec.id, attempt_outcome::not_sent, false);
    else if (owner == fleet_->state().configured.instance.id)
        execute_locally(pending);
    else
        remote[pending.owner].push_back(pending.spec.id);
}

void attempt_router::execute_locally(pending_attempt& pending)
{
    const auto& spec = pending.spec;
    execution_request request;
    request.request_id = request_id_of(spec.id);
    request.upstream = pending.upstream;
    request.priority = pending.context->priority;
    request.hedge = spec.hedge;
    request.deadline = spec.deadline;
    request.range = spec.range;
    request.snapshot = spec.snapshot;
    request.text = pending.context->criteria;
    pending.execution = executor_->start(
        std::move(request), [this, id = spec.id](execution_result result) {
            // Posted, since `start` may call back before it returns.
            loop_->post([this, id, result = std::move(result)]() mutable {
                if (!result.not_owner)
                    result.response.free_slots = result.free_slots;
                complete(id, std::move(result.response));
            });
        });
}

void attempt_router::send_to(
    const std::string& owner,
    const query_context& context,
    const std::vector<attempt_id>& ids)
{
    const auto now = loop_->now();
    const auto ticket = fleet_->next_ticket();
    sub_request message;
    message.bundle_version = context.in_force->version;
    message.priority = context.priority;
    message.criteria = context.criteria;
    for (const auto id : ids) {
        auto& pending = pending_.at(to_integer(id));
        pending.ticket = ticket;
        const auto remaining = std::chrono::duration_cast<microseconds>(
            pending.spec.deadline - reply_travel_time - now);
        message.budget_us = static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(remaining.count(), 0, UINT32_MAX));
        message.attempts.push_back(
            {id,
             pending.upstream,
             pending.spec.range,
             pending.spec.snapshot,
             pending.spec.hedge});
    }
    fleet_->send(owner, message, ticket);
}

void attempt_router::cancel(std::span<const attempt_id> attempts)
{
    std::map<std::string, sub_cancel> remote;
    for (const auto id : attempts) {
        const auto found = pending_.find(to_integer(id));
        if (found == pending_.end())
            continue;
        const auto& pending = found->second;
        if (pending.ticket != 0)
            remote[pending.owner].attempts.push_back(id);
        else
            executor_->cancel(pending.execution);
    }
    for (const auto& [owner, message] : remote)
        fleet_->send(owner, message, fleet_->next_ticket());
}

void attempt_router::on_reply(const peer_process& from, sub_reply reply)
{
    const auto found = pending_.find(to_integer(reply.id));
    const bool expected = found != pending_.end() &&
                          found->second.ticket != 0 &&
                          found->second.owner == from.instance_id;
    if (!expected)
        return;
    auto& pending = found->second;
    if (reply.not_owner && !reply.sent && reroute(pending, from.instance_id))
        return;
    const auto id = reply.id;
    complete(id, make_response(std::move(reply)));
}

/// Sends the attempt to the next likely owner, at most once per attempt.
///
/// \returns False when the attempt must end instead.
bool attempt_router::reroute(pending_attempt& pending, const std::string& from)
{
    auto& leases = fleet_->leases();
    const auto now = loop_->now();
    const auto index = leases.voters().find(pending.upstream);
    if (!index.valid())
        return false;
    leases.on_not_owner(index, from, now);
    const auto next = leases.likely_owner(index, now);
    const bool can_reroute = !pending.rerouted && !pending.spec.hedge &&
                             !next.empty() && next != from &&
                             now < pending.spec.deadline;
    if (!can_reroute)
        return false;
    pending.rerouted = true;
    pending.ticket = 0;
    owner_groups remote;
    const auto context = pending.context;
    route(pending, remote);
    for (const auto& [owner, ids] : remote)
        send_to(owner, *context, ids);
    return true;
}

void attempt_router::on_unsent(
    const std::string& instance_id, delivery_ticket ticket)
{
    std::vector<attempt_id> failed;
    for (const auto& [id, pending] : pending_) {
        if (pending.ticket == ticket && pending.owner == instance_id)
            failed.push_back(pending.spec.id);
    }
    for (const auto id : failed)
        post_completion(id, attempt_outcome::not_sent, false);
}

void attempt_router::on_connection_lost(const std::string& instance_id)
{
    std::vector<attempt_id> failed;
    for (const auto& [id, pending] : pending_) {
        if (pending.ticket != 0 && pending.owner == instance_id)
            failed.push_back(pending.spec.id);
    }
    for (const auto id : failed)
        post_completion(id, attempt_outcome::broken, true);
}

/// Completes attempts that their owners did not answer. Attempts that run here
/// are completed by the executor.
void attempt_router::expire_unanswered(const std::vector<attempt_id>& ids)
{
    for (const auto id : ids) {
        const auto found = pending_.find(to_integer(id));
        if (found != pending_.end() && found->second.ticket != 0)
            post_completion(id, attempt_outcome::timed_out, true);
    }
}

void attempt_router::post_completion(
    attempt_id id, attempt_outcome outcome, bool sent)
{
    loop_->post([this, id, outcome, sent] {
        shard_response response;
        response.outcome = outcome;
        response.sent = sent;
        complete(id, std::move(response));
    });
}

void attempt_router::complete(attempt_id id, shard_response response)
{
    auto entry = pending_.extract(to_integer(id));
    if (!entry.empty())
        notify_completed(entry.mapped().spec, std::move(response));
}

} // namespace peridotward
