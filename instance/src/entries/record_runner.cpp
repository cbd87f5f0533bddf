#include "entries/record_runner.hpp"

#include <peridotward/core/entries/entry_id.hpp>
#include <peridotward/core/placement/random_replica.hpp>

namespace peridotward {

namespace {

constexpr milliseconds retry_after{100};
constexpr std::uint16_t http_not_found = 404;

} // namespace

result<upstream_index>
record_runner::pick(const bundle& in_force, service_index service)
{
    random_replica policy{in_force, state_->random};
    const auto chosen =
        policy.choose(in_force.at(service).upstreams, {}, state_->loop.now());
    if (!chosen)
        return fail(
            error_kind::no_capacity,
            "service \"" + in_force.at(service).id +
                "\" has no upstream that takes new work");
    return *chosen;
}

result<void> record_runner::fetch(
    const request_context& context,
    service_index service,
    const std::string& key)
{
    const auto& in_force = *context.in_force;
    if (in_force.at(service).kind != service_kind::records)
        return fail(
            error_kind::bad_request,
            "service \"" + in_force.at(service).id +
                "\" does not serve single records");
    const auto chosen = pick(in_force, service);
    if (!chosen)
        return tl::unexpected{chosen.error()};
    state_->counted.count("fetches");
    auto job = job_for(context, *chosen, record_action::fetch);
    job.request_id = state_->process + ".r" + std::to_string(++last_request_);
    job.text = key;
    port_->submit(std::move(job), [this, context](execution_result result) {
        on_fetched(context, std::move(result));
    });
    return {};
}

result<void>
record_runner::append(const request_context& context, service_index service)
{
    const auto& in_force = *context.in_force;
    if (in_force.at(service).kind != service_kind::entries)
        return fail(
            error_kind::bad_request,
            "service \"" + in_force.at(service).id + "\" takes no entries");
    const auto entry = context.body.find("entry");
    if (entry == context.body.end() || !entry->is_object())
        return fail(error_kind::bad_request, "entry: expected an object");
    if (!issue_time(context.request_id))
        return fail(
            error_kind::bad_request,
            "request_id: an entry needs MILLISECONDS-TEXT, found \"" +
                context.request_id + "\"");
    const auto chosen =
        entries_->route(in_force.at(service).id, context.request_id);
    if (!chosen.valid() || context.in_force != state_->in_force)
        return fail(
            error_kind::no_capacity,
            "service \"" + in_force.at(service).id +
                "\" has no upstream that takes new work");
    state_->counted.count("appends");
    auto job = job_for(context, chosen, record_action::append);
    job.request_id = context.request_id;
    job.text = json{{"request", context.request_id}, {"entry", *entry}}.dump();
    port_->submit(
        std::move(job), [this, context](const execution_result& result) {
            on_appended(context, result);
        });
    return {};
}

record_operation record_runner::job_for(
    const request_context& context,
    upstream_index upstream,
    record_action action) const
{
    record_operation job;
    job.action = action;
    job.in_force = context.in_force;
    job.upstream = upstream;
    job.priority = context.priority;
    job.deadline = context.deadline;
    return job;
}

void record_runner::on_fetched(
    const request_context& context, execution_result result)
{
    auto& response = result.response;
    http_response answer;
    if (response.outcome == attempt_outcome::answered)
        answer.body = std::move(response.body);
    else if (response.status == http_not_found)
        answer = refusal(
            {error_kind::not_found, "no such record"},
            context.request_id,
            retry_after);
    else
        answer = refusal(
            {response.sent ? error_kind::upstream_failed
                           : error_kind::no_capacity,
             std::string{name_of(response.outcome)}},
            context.request_id,
            retry_after);
    answer_(context.exchange, std::move(answer));
}

void record_runner::on_appended(
    const request_context& context, const execution_result& result)
{
    const auto& response = result.response;
    http_response answer;
    if (response.outcome == attempt_outcome::answered)
        answer.body =
            json{{"request_id", context.request_id}, {"stored", true}}.dump();
    else if (result.duplicate || result.expired)
        answer = refusal(
            {result.duplicate ? error_kind::duplicate_request
                              : error_kind::request_id_expired,
             context.request_id},
            context.request_id,
            retry_after);
    else
        answer = refusal(
            {response.sent ? error_kind::outcome_unknown
                           : error_kind::no_capacity,
             std::string{name_of(response.outcome)}},
            context.request_id,
            retry_after);
    answer_(context.exchange, std::move(answer));
}

} // namespace peridotward
