#include "callers/request_context.hpp"

namespace peridotward {

http_response error_response(
    const error& problem, std::string_view request_id, milliseconds retry_after)
{
    const auto& kind_info = answer_for(problem.kind);
    json body{
        {"request_id", request_id},
        {"error",
         {{"kind", kind_info.name},
          {"text", kind_info.text},
          {"message", problem.message},
          {"run", name_of(kind_info.run)},
          {"not_run", kind_info.run == run_state::not_run},
          {"retry", kind_info.retry}}},
    };
    http_response response;
    response.status = kind_info.http_status;
    if (kind_info.retry) {
        body["error"]["retry_after_ms"] = retry_after.count();
        const auto whole_seconds =
            std::chrono::ceil<seconds>(retry_after).count();
        response.headers.emplace_back(
            "Retry-After", std::to_string(whole_seconds));
    }
    response.headers.emplace_back("Error-Kind", kind_info.name);
    response.body = body.dump();
    return response;
}

} // namespace peridotward
