#include "callers/caller_api.hpp"

#include <peridotward/core/membership/entry_selector.hpp>

namespace peridotward {

namespace {

constexpr std::string_view entries_path = "/v1/entries";
constexpr std::string_view search_prefix = "/v1/search/";
constexpr std::string_view records_prefix = "/v1/records/";
constexpr milliseconds retry_after{100};

} // namespace

caller_api::caller_api(
    instance_state& state,
    const membership& members,
    record_router& records,
    entry_deduplicator& entries,
    attempt_transport& port,
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
      searches_{
          state,
          port,
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
    if (request.method == "GET" && request.path == entries_path) {
        finish(exchange, entries(request));
        return;
    }
    request_context context;
    context.exchange = exchange;
    context.http = std::move(request);
    context.arrived = state_->loop.now();
    auto outcome = filters_.apply(context);
    if (context.registered)
        open_.emplace(static_cast<std::uint64_t>(exchange), context.request_id);
    const auto request_id = context.request_id;
    if (outcome)
        outcome = route(context);
    if (!outcome) {
        state_->counted.count("refusals");
        finish(exchange, refusal(outcome.error(), request_id, retry_after));
    }
}

void caller_api::on_gone(exchange_id exchange)
{
    searches_.caller_gone(exchange);
    forget(exchange);
}

void caller_api::finish(exchange_id exchange, http_response response)
{
    forget(exchange);
    // A caller of a leaving instance is asked to connect elsewhere.
    response.close = response.close || state_->leaving;
    answer_(exchange, std::move(response));
}

void caller_api::forget(exchange_id exchange)
{
    const auto found = open_.find(static_cast<std::uint64_t>(exchange));
    if (found == open_.end())
        return;
    state_->running_ids.erase(found->second);
    open_.erase(found);
}

result<void> caller_api::route(request_context& context)
{
    const std::string path = context.http.path;
    if (path.starts_with(search_prefix) && context.http.method == "POST") {
        const auto name = path.substr(search_prefix.size());
        const auto wanted = context.in_force->find_search(name);
        if (!wanted.valid())
            return fail(
                error_kind::unknown_search,
                "search \"" + name + "\" is not defined");
        return searches_.start(std::move(context), wanted);
    }
    if (path.starts_with(records_prefix))
        return route_record(
            context, std::string_view{path}.substr(records_prefix.size()));
    return fail(
        error_kind::unknown_path,
        context.http.method + " " + path + " does not exist");
}

result<void>
caller_api::route_record(request_context& context, std::string_view rest)
{
    const auto slash = rest.find('/');
    const std::string name{rest.substr(0, slash)};
    const auto service = context.in_force->find_service(name);
    if (!service.valid())
        return fail(
            error_kind::unknown_service,
            "service \"" + name + "\" is not defined");
    if (context.http.method == "GET" && slash != std::string_view::npos)
        return records_.fetch(
            context, service, std::string{rest.substr(slash + 1)});
    if (context.http.method == "POST" && slash == std::string_view::npos)
        return records_.append(context, service);
    return fail(
        error_kind::unknown_path, "use GET with a key or POST without one");
}

/// What other instances say of themselves goes before the published list,
/// which lags; the list alone counts while no other instance is known.
std::vector<entry_candidate> caller_api::candidates() const
{
    std::vector<entry_candidate> found;
    const auto& self = members_->self();
    found.push_back(
        {self.id,
         self.domain,
         self.callers,
         state_->not_ready_reason().empty()});
    for (const auto& [seat, known] : members_->members())
        found.push_back(
            {seat,
             known.belief.domain,
             known.belief.callers,
             members_->serves(seat)});
    if (found.size() > 1)
        return found;
    for (const auto& entry : state_->listed.instances) {
        if (entry.id != self.id)
            found.push_back(
                {entry.id,
                 entry.domain,
                 entry.callers,
                 entry.state == listed_state::live});
    }
    return found;
}

http_response caller_api::entries(const http_request& request) const
{
    // Callers behind one address may name themselves to spread.
    auto caller = find_header(request.query, "caller");
    if (caller.empty())
        caller = request.peer_host;
    const auto selected = select_entries(
        candidates(), caller, find_header(request.query, "domain"));
    json addresses = json::array();
    for (const auto& entry : selected)
        addresses.push_back(
            {{"instance", entry.id},
             {"address", entry.callers.text()},
             {"domain", entry.domain}});
    const json body{
        {"entries", std::move(addresses)},
        {"max_age_ms", state_->configured.limits.entries_max_age.count()},
    };
    http_response response;
    response.body = body.dump();
    return response;
}

} // namespace peridotward
