#include "entries/record_router.hpp"

#include <algorithm>

namespace peridotward {

namespace {

/// Kept back from an owner's time for its answer's way.
constexpr milliseconds answer_way{4};
/// How long after its deadline an owner's answer is still awaited.
constexpr milliseconds overdue_wait{20};

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
    fleet.on_lost([this](const std::string& seat) { on_lost(seat); });
}

void record_router::submit(record_operation job, completion done)
{
    fleet_->follow_state();
    const auto upstream = resource_of(job.in_force->at(job.upstream));
    const auto& leases = fleet_->leases();
    const auto index = leases.voters().find(upstream);
    const auto owner = index.valid() ? leases.likely_owner(index, loop_->now())
                                     : std::string_view{};
    if (owner.empty())
        done(execution_result{});
    else if (owner == fleet_->state().configured.instance.id)
        run_here(std::move(job), upstream, std::move(done));
    else
        send_to(std::string{owner}, std::move(job), upstream, std::move(done));
}

void record_router::run_here(
    record_operation&& job, resource_id upstream, completion&& done)
{
    const bool is_fetch = job.action == record_action::fetch;
    execution_request request;
    request.what = is_fetch ? execution_request::action::fetch
                            : execution_request::action::append;
    request.name = std::move(job.request_id);
    request.upstream = upstream;
    request.priority = job.priority;
    request.deadline = job.deadline;
    request.text = std::move(job.text);
    executor_->start(std::move(request), std::move(done));
}

void record_router::send_to(
    const std::string& owner,
    record_operation&& job,
    resource_id upstream,
    completion&& done)
{
    const auto left = std::chrono::duration_cast<microseconds>(
        job.deadline - answer_way - loop_->now());
    record_request message;
    message.id = ++last_id_;
    message.bundle_version = job.in_force->version;
    message.budget_us = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(left.count(), 0, UINT32_MAX));
    message.action = job.action;
    message.upstream = upstream;
    message.request_id = std::move(job.request_id);
    message.text = std::move(job.text);
    const auto ticket = fleet_->next_ticket();
    pending_.emplace(message.id, carried{owner, ticket, std::move(done)});
    fleet_->send(owner, message, ticket);
    loop_->at(job.deadline + overdue_wait, [this, id = message.id] {
        end_unanswered(id, attempt_outcome::timed_out);
    });
}

void record_router::on_reply(const peer_process& from, record_reply reply)
{
    const auto found = pending_.find(reply.id);
    if (found == pending_.end() || found->second.owner != from.seat)
        return;
    execution_result result;
    result.duplicate = reply.duplicate;
    result.expired = reply.expired;
    result.response.outcome = reply.outcome;
    result.response.sent = reply.sent;
    result.response.status = reply.status;
    result.response.body = std::move(reply.body);
    end(reply.id, std::move(result));
}

void record_router::on_unsent(delivery_ticket ticket)
{
    for (const auto& [id, each] : pending_) {
        if (each.ticket != ticket)
            continue;
        end(id, execution_result{});
        return;
    }
}

void record_router::on_lost(const std::string& seat)
{
    std::vector<std::uint64_t> ended;
    for (const auto& [id, each] : pending_) {
        if (each.owner == seat)
            ended.push_back(id);
    }
    for (const auto id : ended)
        end_unanswered(id, attempt_outcome::broken);
}

void record_router::end_unanswered(std::uint64_t id, attempt_outcome outcome)
{
    execution_result result;
    result.response.outcome = outcome;
    result.response.sent = true;
    end(id, std::move(result));
}

void record_router::end(std::uint64_t id, execution_result result)
{
    auto node = pending_.extract(id);
    if (!node.empty())
        node.mapped().done(std::move(result));
}

} // namespace peridotward
