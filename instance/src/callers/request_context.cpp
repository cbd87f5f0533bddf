#include "callers/request_context.hpp"

namespace peridotward {

http_response
refusal(const error& problem, std::string_view request_id, milliseconds wait)
{
    const auto& answer = answer_for(problem.kind);
    json body{
        {"request_id", request_id},
        {"error",
         {{"kind", answer.name},
          {"text", answer.text},
          {"message", problem.message},
          {"run", name_of(answer.run)},
          {"not_run", answer.run == run_state::not_run},
          {"retry", answer.retry}}},
    };
    http_response response;
    response.status = answer.http_status;
    if (answer.retry) {
        body["error"]["retry_after_ms"] = wait.count();
        const auto whole = std::chrono::ceil<seconds>(wait).count();
        response.headers.emplace_back("Retry-After", std::to_string(whole));
    }
    response.headers.emplace_back("Error-Kind", answer.name);
    response.body = body.dump();
    return response;
}

} // namespace peridotward
