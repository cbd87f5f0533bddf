#include "owners/attempt_router.hpp"
#include "owners/peer_request_handler.hpp"

#include <algorithm>

namespace peridotward {

namespace {

std::uint64_t to_integer(attempt_id id)
{
    return static_cast<std::uint64_t>(id);
}

record_reply make_reply(std::uint64_t id, execution_result&& result)
{
    record_reply reply;
    reply.id = id;
    reply.outcome = result.response.outcome;
    reply.sent = result.response.sent;
    reply.duplicate = result.duplicate;
    reply.expired = result.expired;
    reply.status = result.response.status;
    reply.body = std::move(result.response.body);
    return reply;
}

} // namespace

peer_request_handler::peer_request_handler(
    fleet_runner& fleet, upstream_executor& executor)
    : fleet_{&fleet}, executor_{&executor}, loop_{&fleet.state().loop}
{
    fleet.on<sub_request>(
        [this](const peer_process& from, const sub_request& request) {
            on_sub_request(from, request);
        });
    fleet.on<sub_cancel>(
        [this](const peer_process& from, const sub_cancel& message) {
            on_sub_cancel(from, message);
        });
    fleet.on<record_request>(
        [this](const peer_process& from, record_request request) {
            on_record_request(from, std::move(request));
        });
}

void peer_request_handler::on_sub_request(
    const peer_process& from, const sub_request& request)
{
    const auto deadline = loop_->now() + microseconds{request.budget_us};
    for (const auto& attempt_spec : request.attempts)
        execute(from, request, attempt_spec, deadline);
}

void peer_request_handler::execute(
    const peer_process& from,
    const sub_request& request,
    const sub_attempt& attempt_spec,
    time_point deadline)
{
    const attempt_key key{
        from.instance_id, from.incarnation, to_integer(attempt_spec.id)};
    if (!running_.emplace(key, execution_id{}).second)
        return;
    execution_request execution;
    execution.request_id = make_request_id(from, attempt_spec.id);
    execution.upstream = attempt_spec.upstream;
    execution.priority = request.priority;
    execution.hedge = attempt_spec.hedge;
    execution.deadline = deadline;
    execution.range = attempt_spec.range;
    execution.snapshot = attempt_spec.snapshot;
    execution.text = request.criteria;
    const auto started_id = executor_->start(
        std::move(execution),
        [this, from, id = attempt_spec.id](execution_result result) {
            on_completed(from, id, std::move(result));
        });
    const auto entry = running_.find(key);
    if (entry != running_.end())
        entry->second = started_id;
}

void peer_request_handler::on_sub_cancel(
    const peer_process& from, const sub_cancel& message)
{
    for (const auto id : message.attempts) {
        const auto found = running_.find(
            attempt_key{from.instance_id, from.incarnation, to_integer(id)});
        if (found != running_.end())
            executor_->cancel(found->second);
    }
}

void peer_request_handler::on_completed(
    const peer_process& from, attempt_id id, execution_result&& result)
{
    running_.erase(
        attempt_key{from.instance_id, from.incarnation, to_integer(id)});
    auto& response = result.response;
    sub_reply reply;
    reply.id = id;
    reply.outcome = response.outcome;
    reply.sent = response.sent;
    reply.not_owner = result.not_owner;
    reply.status = response.status;
    reply.elapsed_us = static_cast<std::uint32_t>(
        std::chrono::duration_cast<microseconds>(response.elapsed).count());
    reply.free_slots = result.free_slots;
    reply.report = response.report;
    reply.body = std::move(response.body);
    fleet_->send(from.instance_id, reply, fleet_->next_ticket());
}

void peer_request_handler::on_record_request(
    const peer_process& from, record_request request)
{
    execution_request execution;
    const bool is_fetch = request.action == record_action::fetch;
    execution.action = is_fetch ? execution_request::action_kind::fetch
                                : execution_request::action_kind::append;
    execution.request_id = std::move(request.request_id);
    execution.upstream = request.upstream;
    execution.deadline = loop_->now() + microseconds{request.budget_us};
    execution.text = std::move(request.text);
    executor_->start(
        std::move(execution),
        [this, from, id = request.id](execution_result result) {
            fleet_->send(
                from.instance_id,
                make_reply(id, std::move(result)),
                fleet_->next_ticket());
        });
}

} // namespace peridotward
