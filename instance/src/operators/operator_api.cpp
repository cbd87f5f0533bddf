#include "configuration/config_dump.hpp"
#include "fleet/fleet_dump.hpp"
#include "log.hpp"
#include "operators/operator_api.hpp"

namespace peridotward {

namespace {

constexpr milliseconds retry_after{1000};
constexpr std::string_view explain_prefix = "/v1/explain/";
constexpr std::string_view link_filter_path = "/v1/test/link-filter";

http_response operator_error(error_kind kind, std::string message)
{
    return error_response({kind, std::move(message)}, "", retry_after);
}

http_response set_log_level(const http_request& request)
{
    const auto body = parse_json(request.body);
    if (!body)
        return operator_error(error_kind::bad_request, body.error().message);
    const auto name = body->is_object() ? body->value("level", json{}) : json{};
    const auto level = name.is_string()
                           ? from_name<log_level>(name.get<std::string>())
                           : std::nullopt;
    if (!level)
        return operator_error(
            error_kind::bad_request,
            "level: expected debug, info, warn or error, found " + name.dump());
    change_log_level(*level);
    log_event(
        log_level::warn, "log_level_changed", {{"level", name_of(*level)}});
    http_response response;
    response.body = json{{"level", name}}.dump();
    return response;
}

http_response readiness_response(const instance_state& state)
{
    const auto reason = state.not_ready_reason();
    http_response response;
    response.status = reason.empty() ? 200 : 503;
    response.body = json{{"ready", reason.empty()}, {"reason", reason}}.dump();
    return response;
}

} // namespace

http_response operator_api::on_request(const http_request& request) const
{
    http_response response;
    if (request.path == "/v1/state")
        return state_dump(request);
    if (request.path == "/v1/health/ready")
        return readiness_response(*state_);
    if (request.path.starts_with(explain_prefix))
        return explain(request.path.substr(explain_prefix.size()));
    if (request.path == "/v1/log-level" && request.method == "POST")
        return set_log_level(request);
    const bool link_filter_enabled = state_->configured.peers.test_filter;
    if (link_filter_enabled && request.path == link_filter_path &&
        request.method == "POST")
        return set_link_filter(request);
    if (request.path == "/v1/health/live") {
        response.body = R"({"live":true})";
        return response;
    }
    if (request.path == "/metrics") {
        response.body = state_->metrics.render();
        response.content_type = "text/plain";
        return response;
    }
    return operator_error(
        error_kind::unknown_path,
        request.method + " " + request.path + " does not exist");
}

/// Body: `{"refuse": [INSTANCE, ...]}`. An empty list restores all links.
http_response operator_api::set_link_filter(const http_request& request) const
{
    const auto body = parse_json(request.body);
    if (!body)
        return operator_error(error_kind::bad_request, body.error().message);
    const auto refused =
        body->is_object() ? body->value("refuse", json{}) : json{};
    std::set<std::string> instance_ids;
    for (const auto& instance_id : refused) {
        if (!instance_id.is_string())
            return operator_error(
                error_kind::bad_request,
                "refuse: expected seats, found " + instance_id.dump());
        instance_ids.insert(instance_id.get<std::string>());
    }
    log_event(log_level::warn, "links_cut", {{"seats", instance_ids.size()}});
    http_response response;
    response.body = json{{"refuse", instance_ids}}.dump();
    fleet_->refuse_links(std::move(instance_ids));
    return response;
}

http_response operator_api::state_dump(const http_request& request) const
{
    auto document = dump();
    const std::string section{find_header(request.query, "section")};
    if (!section.empty()) {
        if (!document.contains(section))
            return operator_error(
                error_kind::bad_request,
                "section \"" + section + "\" does not exist");
        document = json{{section, document[section]}};
    }
    http_response response;
    response.body = document.dump(2) + "\n";
    return response;
}

http_response operator_api::explain(std::string_view request_id) const
{
    const auto* trace = state_->finished_queries.find(request_id);
    if (trace == nullptr)
        return operator_error(
            error_kind::not_found,
            "request \"" + std::string{request_id} +
                "\" is not among the last " +
                std::to_string(state_->configured.limits.recent_queries) +
                " of this instance");
    http_response response;
    response.body = trace->to_json().dump(2) + "\n";
    return response;
}

json operator_api::dump() const
{
    json document{
        {"instance", state_->configured.instance.id},
        {"domain", state_->configured.instance.domain},
        {"process", state_->process_name},
        {"ready", state_->not_ready_reason().empty()},
        {"not_ready_reason", state_->not_ready_reason()},
        {"running_queries", callers_->queries().running()},
        {"open_requests", callers_->open_requests()},
        {"upstream_exchanges", state_->loop.client().running()},
    };
    if (state_->in_force)
        document["bundle"] = {
            {"version", state_->in_force->version},
            {"digest", state_->in_force->digest}};
    document["configuration"] = dump_configuration(*state_);
    document["fleet"] = dump_fleet(*fleet_);
    document["counters"] = state_->metrics.counters();
    return document;
}

} // namespace peridotward
