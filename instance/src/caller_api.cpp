#include "caller_api.hpp"

namespace peridotward {

namespace {

constexpr std::string_view entries_path = "/v1/entries";
constexpr std::string_view search_prefix = "/v1/search/";
constexpr std::string_view records_prefix = "/v1/records/";
constexpr milliseconds retry_after{100};

} // namespace

caller_api::caller_api(
    node_state& state,
    upstream_gateway& gateway,
    attempt_port& port,
    answer_handler answer)
    : state_{&state},
      answer_{std::move(answer)},
      filters_{
          readiness_filter{&state},
          body_filter{},
          identity_filter{&state},
          deadline_filter{}},
      searches_{state, port, answer_},
      records_{state, gateway, answer_}
{}

void caller_api::on_request(exchange_id exchange, http_request request)
{
    if (request.method == "GET" && request.path == entries_path) {
        answer_(exchange, entries());
        return;
    }
    request_context context;
    context.exchange = exchange;
    context.http = std::move(request);
    context.arrived = state_->loop.now();
    auto outcome = filters_.apply(context);
    if (outcome)
        outcome = route(context);
    if (!outcome) {
        state_->counted.count("refusals");
        answer_(
            exchange,
            refusal(outcome.error(), context.request_id, retry_after));
    }
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

http_response caller_api::entries() const
{
    json addresses = json::array();
    for (const auto& entry : state_->listed.instances) {
        if (entry.state != listed_state::live)
            continue;
        addresses.push_back(
            {{"instance", entry.id},
             {"address", entry.callers.text()},
             {"domain", entry.domain}});
    }
    const json body{
        {"entries", std::move(addresses)},
        {"max_age_ms", state_->configured.limits.entries_max_age.count()},
    };
    http_response response;
    response.body = body.dump();
    return response;
}

} // namespace peridotward
