#include "callers/caller_api.hpp"

#include <peridotward/core/membership/instance_selector.hpp>

namespace peridotward {

namespace {

constexpr std::string_view instances_path = "/v1/entries";
constexpr std::string_view search_prefix = "/v1/search/";
constexpr std::string_view records_prefix = "/v1/records/";
constexpr milliseconds retry_after{100};

} // namespace

caller_api::caller_api(
    instance_state& state,
    const membership& members,
    record_router& records,
    entry_deduplicator& entries,
    attempt_transport& attempts,
    answer_handler answer)
    : state_{&state},
      members_{&members},
      answer_{std::move(answer)},
      filters_{
          readiness_filter{&state},
          body_filter{},
          request_id_filter{&state},
          caller_class_filter{&state},
          deadline_filter{},
          duplicate_filter{&state}},
      queries_{
          state,
          attempts,
          [this](exchange_id id, http_response response) {
              finish(id, std::move(response));
          }},
      records_{
          state,
          records,
          entries,
          [this](exchange_id id, http_response response) {
              finish(id, std::move(response));
          }}
{}

void caller_api::on_request(exchange_id exchange, http_request request)
{
    if (request.method == "GET" && request.path == instances_path) {
        finish(exchange, list_instances(request));
        return;
    }
    request_context context;
    context.exchange = exchange;
    context.http = std::move(request);
    context.arrived = state_->loop.now();
    auto outcome = filters_.apply(context);
    if (context.registered)
        open_requests_.emplace(
            static_cast<std::uint64_t>(exchange), context.request_id);
    const auto request_id = context.request_id;
    if (outcome)
        outcome = route(context);
    if (!outcome) {
        state_->metrics.increment("refusals");
        finish(
            exchange, error_response(outcome.error(), request_id, retry_after));
    }
}

void caller_api::on_disconnect(exchange_id exchange)
{
    queries_.on_caller_disconnect(exchange);
    unregister(exchange);
}

void caller_api::finish(exchange_id exchange, http_response response)
{
    unregister(exchange);
    // Closes the connection during the shutdown, so that the caller connects to
    // another instance.
    response.close = response.close || state_->leaving;
    answer_(exchange, std::move(response));
}

void caller_api::unregister(exchange_id exchange)
{
    const auto open_request =
        open_requests_.find(static_cast<std::uint64_t>(exchange));
    if (open_request == open_requests_.end())
        return;
    state_->running_request_ids.erase(open_request->second);
    open_requests_.erase(open_request);
}

result<void> caller_api::route(request_context& context)
{
    const std::string path = context.http.path;
    if (path.starts_with(search_prefix) && context.http.method == "POST") {
        const auto id = path.substr(search_prefix.size());
        const auto search = context.in_force->find_search(id);
        if (!search.valid())
            return fail(
                error_kind::unknown_search,
                "search \"" + id + "\" is not defined");
        return queries_.submit(std::move(context), search);
    }
    if (path.starts_with(records_prefix))
        return route_record(
            context, std::string_view{path}.substr(records_prefix.size()));
    return fail(
        error_kind::unknown_path,
        context.http.method + " " + path + " does not exist");
}

result<void>
caller_api::route_record(request_context& context, std::string_view subpath)
{
    const auto slash = subpath.find('/');
    const std::string id{subpath.substr(0, slash)};
    const auto service = context.in_force->find_service(id);
    if (!service.valid())
        return fail(
            error_kind::unknown_service,
            "service \"" + id + "\" is not defined");
    if (context.http.method == "GET" && slash != std::string_view::npos)
        return records_.fetch(
            context, service, std::string{subpath.substr(slash + 1)});
    if (context.http.method == "POST" && slash == std::string_view::npos)
        return records_.append(context, service);
    return fail(
        error_kind::unknown_path, "use GET with a key or POST without one");
}

/// \returns The instances known from the membership, which is more recent than
/// the published list. Uses that list when no other member is known.
std::vector<instance_candidate> caller_api::candidates() const
{
    std::vector<instance_candidate> instances;
    const auto& self = members_->self();
    instances.push_back(
        {self.id,
         self.domain,
         self.callers,
         state_->not_ready_reason().empty()});
    for (const auto& [instance_id, member] : members_->members())
        instances.push_back(
            {instance_id,
             member.latest_update.domain,
             member.latest_update.callers,
             members_->serves(instance_id)});
    if (instances.size() > 1)
        return instances;
    for (const auto& instance : state_->published_list.instances) {
        if (instance.id != self.id)
            instances.push_back(
                {instance.id,
                 instance.domain,
                 instance.callers,
                 instance.state == listed_state::live});
    }
    return instances;
}

http_response caller_api::list_instances(const http_request& request) const
{
    // Callers that share one address can pass different names, so that they
    // are spread over the instances.
    auto caller = find_header(request.query, "caller");
    if (caller.empty())
        caller = request.peer_host;
    const auto selected = order_instances(
        candidates(), caller, find_header(request.query, "domain"));
    json addresses = json::array();
    for (const auto& instance : selected)
        addresses.push_back(
            {{"instance", instance.id},
             {"address", instance.callers.text()},
             {"domain", instance.domain}});
    const json body{
        {"entries", std::move(addresses)},
        {"max_age_ms", state_->configured.limits.entries_max_age.count()},
    };
    http_response response;
    response.body = body.dump();
    return response;
}

} // namespace peridotward
