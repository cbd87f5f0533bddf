#include "operator_api.hpp"

namespace peridotward {

namespace {

constexpr milliseconds retry_after{1000};

} // namespace

http_response operator_api::on_request(const http_request& request) const
{
    http_response response;
    if (request.path == "/v1/state") {
        response.body = dump().dump(2) + "\n";
    }
    else if (request.path == "/metrics") {
        response.body = state_->counted.render();
        response.content_type = "text/plain";
    }
    else if (request.path == "/v1/health/live") {
        response.body = R"({"live":true})";
    }
    else if (request.path == "/v1/health/ready") {
        const auto reason = state_->not_ready_reason();
        response.status = reason.empty() ? 200 : 503;
        response.body =
            json{{"ready", reason.empty()}, {"reason", reason}}.dump();
    }
    else {
        response = refusal(
            {error_kind::unknown_path, request.path + " does not exist"},
            "",
            retry_after);
    }
    return response;
}

json operator_api::dump() const
{
    json document{
        {"instance", state_->configured.instance.id},
        {"domain", state_->configured.instance.domain},
        {"process", state_->process},
        {"ready", state_->not_ready_reason().empty()},
        {"running_queries", callers_->searches().running()},
        {"open_exchanges", state_->loop.client().running()},
    };
    if (state_->in_force)
        document["bundle"] = {
            {"version", state_->in_force->version},
            {"digest", state_->in_force->digest}};
    document["counters"] = state_->counted.counters();
    return document;
}

} // namespace peridotward
