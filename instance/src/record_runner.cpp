#include "record_runner.hpp"

#include <peridotward/core/random_replica.hpp>

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
    const auto name = state_->process + ".r" + std::to_string(++last_request_);
    state_->counted.count("fetches");
    gateway_->fetch(
        in_force.at(*chosen).address,
        name,
        key,
        context.deadline - state_->loop.now(),
        [this, context](shard_response response) {
            on_fetched(context, std::move(response));
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
    const auto chosen = pick(in_force, service);
    if (!chosen)
        return tl::unexpected{chosen.error()};
    state_->counted.count("appends");
    const json body{{"request", context.request_id}, {"entry", *entry}};
    gateway_->append(
        in_force.at(*chosen).address,
        context.request_id,
        body.dump(),
        context.deadline - state_->loop.now(),
        [this, context](const shard_response& response) {
            on_appended(context, response);
        });
    return {};
}

void record_runner::on_fetched(
    const request_context& context, shard_response response)
{
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
    const request_context& context, const shard_response& response)
{
    http_response answer;
    if (response.outcome == attempt_outcome::answered)
        answer.body =
            json{{"request_id", context.request_id}, {"stored", true}}.dump();
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
