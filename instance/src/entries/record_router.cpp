#include "entries/record_router.hpp"

#include <algorithm>

namespace peridotward {

namespace {

/// Subtracted from the budget sent to an owner: the travel time of its reply.
constexpr milliseconds reply_travel_time{4};
/// How long after its deadline an operation still waits for the owner's reply.
constexpr milliseconds reply_grace{20};

} // namespace

record_router::record_router(fleet_runner& fleet, upstream_executor& executor)
    : fleet_{&fleet}, executor_{&executor}, loop_{&fleet.state().loop}
{
    fleet.on<record_reply>(
        [this](const peer_process& from, record_reply reply) {
            on_reply(from, std::move(reply));
        });
    fleet.on_unsent([this](const std::string&, delivery_ticket ticket) {
        on_unsent(ticket);
    });
    fleet.on_connection_lost([this](const std::string& instance_id) {
        on_connection_lost(instance_id);
    });
}

void record_router::submit(record_operation operation, completion done)
{
    fleet_->apply_state_changes();
    const auto upstream =
        resource_of(operation.in_force->at(operation.upstream));
    const auto& leases = fleet_->leases();
    const auto index = leases.voters().find(upstream);
    const auto owner = index.valid() ? leases.likely_owner(index, loop_->now())
                                     : std::string_view{};
    if (owner.empty())
        done(execution_result{});
    else if (owner == fleet_->state().configured.instance.id)
        execute_locally(std::move(operation), upstream, std::move(done));
    else
        send_to(
            std::string{owner},
            std::move(operation),
            upstream,
            std::move(done));
}

void record_router::execute_locally(
    record_operation&& operation, resource_id upstream, completion&& done)
{
    const bool is_fetch = operation.action == record_action::fetch;
    execution_request request;
    request.action = is_fetch ? execution_request::action_kind::fetch
                              : execution_request::action_kind::append;
    request.request_id = std::move(operation.request_id);
    request.upstream = upstream;
    request.priority = operation.priority;
    request.deadline = operation.deadline;
    request.text = std::move(operation.text);
    executor_->start(std::move(request), std::move(done));
}

void record_router::send_to(
    const std::string& owner,
    record_operation&& operation,
    resource_id upstream,
    completion&& done)
{
    const auto remaining = std::chrono::duration_cast<microseconds>(
        operation.deadline - reply_travel_time - loop_->now());
    record_request message;
    message.id = ++last_id_;
    message.bundle_version = operation.in_force->version;
    message.budget_us = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(remaining.count(), 0, UINT32_MAX));
    message.action = operation.action;
    message.upstream = upstream;
    message.request_id = std::move(operation.request_id);
    message.text = std::move(operation.text);
    const auto ticket = fleet_->next_ticket();
    pending_.emplace(
        message.id, pending_record{owner, ticket, std::move(done)});
    fleet_->send(owner, message, ticket);
    loop_->schedule_at(
        operation.deadline + reply_grace, [this, id = message.id] {
            complete_unanswered(id, attempt_outcome::timed_out);
        });
}

void record_router::on_reply(const peer_process& from, record_reply reply)
{
    const auto found = pending_.find(reply.id);
    if (found == pending_.end() || found->second.owner != from.instance_id)
        return;
    execution_result result;
    result.duplicate = reply.duplicate;
    result.expired = reply.expired;
    result.response.outcome = reply.outcome;
    result.response.sent = reply.sent;
    result.response.status = reply.status;
    result.response.body = std::move(reply.body);
    complete(reply.id, std::move(result));
}

void record_router::on_unsent(delivery_ticket ticket)
{
    for (const auto& [id, pending] : pending_) {
        if (pending.ticket != ticket)
            continue;
        complete(id, execution_result{});
        return;
    }
}

void record_router::on_connection_lost(const std::string& instance_id)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, pending] : pending_) {
        if (pending.owner == instance_id)
            ids.push_back(id);
    }
    for (const auto id : ids)
        complete_unanswered(id, attempt_outcome::broken);
}

void record_router::complete_unanswered(
    std::uint64_t id, attempt_outcome outcome)
{
    execution_result result;
    result.response.outcome = outcome;
    result.response.sent = true;
    complete(id, std::move(result));
}

void record_router::complete(std::uint64_t id, execution_result result)
{
    auto entry = pending_.extract(id);
    if (!entry.empty())
        entry.mapped().done(std::move(result));
}

} // namespace peridotward
