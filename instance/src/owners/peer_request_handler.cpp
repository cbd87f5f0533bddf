#include "owners/attempt_router.hpp"
#include "owners/peer_request_handler.hpp"

#include <algorithm>

namespace peridotward {

namespace {

std::uint64_t number_of(attempt_id id)
{
    return static_cast<std::uint64_t>(id);
}

record_reply reply_of(std::uint64_t id, execution_result&& result)
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
            on_request(from, request);
        });
    fleet.on<sub_cancel>(
        [this](const peer_process& from, const sub_cancel& message) {
            on_cancel(from, message);
        });
    fleet.on<record_request>(
        [this](const peer_process& from, record_request request) {
            on_record(from, std::move(request));
        });
}

void peer_request_handler::on_request(
    const peer_process& from, const sub_request& request)
{
    const auto deadline = loop_->now() + microseconds{request.budget_us};
    for (const auto& wanted : request.attempts)
        run(from, request, wanted, deadline);
}

void peer_request_handler::run(
    const peer_process& from,
    const sub_request& request,
    const sub_attempt& wanted,
    time_point deadline)
{
    const attempt_key key{from.seat, from.incarnation, number_of(wanted.id)};
    if (!running_.emplace(key, execution_id{}).second)
        return;
    execution_request owned;
    owned.name = attempt_name(from, wanted.id);
    owned.upstream = wanted.upstream;
    owned.priority = request.priority;
    owned.hedge = wanted.hedge;
    owned.deadline = deadline;
    owned.range = wanted.range;
    owned.snapshot = wanted.snapshot;
    owned.text = request.criteria;
    const auto work = executor_->start(
        std::move(owned),
        [this, from, id = wanted.id](execution_result result) {
            on_end(from, id, std::move(result));
        });
    const auto still = running_.find(key);
    if (still != running_.end())
        still->second = work;
}

void peer_request_handler::on_cancel(
    const peer_process& from, const sub_cancel& message)
{
    for (const auto id : message.attempts) {
        const auto found = running_.find(
            attempt_key{from.seat, from.incarnation, number_of(id)});
        if (found != running_.end())
            executor_->cancel(found->second);
    }
}

void peer_request_handler::on_end(
    const peer_process& from, attempt_id id, execution_result&& result)
{
    running_.erase(attempt_key{from.seat, from.incarnation, number_of(id)});
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
    fleet_->send(from.seat, reply, fleet_->next_ticket());
}

void peer_request_handler::on_record(
    const peer_process& from, record_request request)
{
    execution_request owned;
    const bool is_fetch = request.action == record_action::fetch;
    owned.what = is_fetch ? execution_request::action::fetch
                          : execution_request::action::append;
    owned.name = std::move(request.request_id);
    owned.upstream = request.upstream;
    owned.deadline = loop_->now() + microseconds{request.budget_us};
    owned.text = std::move(request.text);
    executor_->start(
        std::move(owned),
        [this, from, id = request.id](execution_result result) {
            fleet_->send(
                from.seat,
                reply_of(id, std::move(result)),
                fleet_->next_ticket());
        });
}

} // namespace peridotward
