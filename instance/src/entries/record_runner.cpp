#include "entries/record_runner.hpp"

#include <peridotward/core/entries/entry_id.hpp>
#include <peridotward/core/placement/random_selector.hpp>

namespace peridotward {

namespace {

constexpr milliseconds retry_after{100};
constexpr std::uint16_t http_not_found = 404;

} // namespace

result<upstream_index>
record_runner::select_upstream(const bundle& in_force, service_index service)
{
    random_selector selector{in_force, state_->random};
    const auto selected =
        selector.choose(in_force.at(service).upstreams, {}, state_->loop.now());
    if (!selected)
        return fail(
            error_kind::no_capacity,
            "service \"" + in_force.at(service).id +
                "\" has no upstream that takes new work");
    return *selected;
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
    const auto selected = select_upstream(in_force, service);
    if (!selected)
        return tl::unexpected{selected.error()};
    state_->metrics.increment("fetches");
    auto operation = make_operation(context, *selected, record_action::fetch);
    operation.request_id =
        state_->process_name + ".r" + std::to_string(++last_request_);
    operation.text = key;
    router_->submit(
        std::move(operation), [this, context](execution_result result) {
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
    const auto selected =
        entries_->route(in_force.at(service).id, context.request_id);
    if (!selected.valid() || context.in_force != state_->in_force)
        return fail(
            error_kind::no_capacity,
            "service \"" + in_force.at(service).id +
                "\" has no upstream that takes new work");
    state_->metrics.increment("appends");
    auto operation = make_operation(context, selected, record_action::append);
    operation.request_id = context.request_id;
    operation.text =
        json{{"request", context.request_id}, {"entry", *entry}}.dump();
    router_->submit(
        std::move(operation), [this, context](const execution_result& result) {
            on_appended(context, result);
        });
    return {};
}

record_operation record_runner::make_operation(
    const request_context& context,
    upstream_index upstream,
    record_action action) const
{
    record_operation operation;
    operation.action = action;
    operation.in_force = context.in_force;
    operation.upstream = upstream;
    operation.priority = context.priority;
    operation.deadline = context.deadline;
    return operation;
}

void record_runner::on_fetched(
    const request_context& context, execution_result result)
{
    auto& response = result.response;
    http_response reply;
    if (response.outcome == attempt_outcome::answered)
        reply.body = std::move(response.body);
    else if (response.status == http_not_found)
        reply = error_response(
            {error_kind::not_found, "no such record"},
            context.request_id,
            retry_after);
    else
        reply = error_response(
            {response.sent ? error_kind::upstream_failed
                           : error_kind::no_capacity,
             std::string{name_of(response.outcome)}},
            context.request_id,
            retry_after);
    answer_(context.exchange, std::move(reply));
}

void record_runner::on_appended(
    const request_context& context, const execution_result& result)
{
    const auto& response = result.response;
    http_response reply;
    if (response.outcome == attempt_outcome::answered)
        reply.body =
            json{{"request_id", context.request_id}, {"stored", true}}.dump();
    else if (result.duplicate || result.expired)
        reply = error_response(
            {result.duplicate ? error_kind::duplicate_request
                              : error_kind::request_id_expired,
             context.request_id},
            context.request_id,
            retry_after);
    else
        reply = error_response(
            {response.sent ? error_kind::outcome_unknown
                           : error_kind::no_capacity,
             std::string{name_of(response.outcome)}},
            context.request_id,
            retry_after);
    answer_(context.exchange, std::move(reply));
}

} // namespace peridotward
