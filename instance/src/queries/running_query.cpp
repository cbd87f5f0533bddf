#include "queries/running_query.hpp"

namespace peridotward {

namespace {

constexpr milliseconds retry_after{100};
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_partial = 206;

http_response
insufficient_coverage_response(const running_query& running, double coverage)
{
    const auto kind = running.state.anything_sent()
                          ? error_kind::coverage_too_low
                          : error_kind::no_capacity;
    return error_response(
        {kind,
         "coverage is " + std::to_string(coverage) + ", wanted " +
             std::to_string(running.minimum_coverage)},
        running.context.request_id,
        retry_after);
}

json missing_json(const query& state)
{
    json missing = json::array();
    for (const auto& gap : state.missing())
        missing.push_back(
            {{"range", {gap.range.first, gap.range.last}},
             {"reason", name_of(gap.reason)}});
    return missing;
}

json extract_records(running_query& running)
{
    json records = json::array();
    for (auto& part : running.records) {
        for (auto& record : part)
            records.push_back(std::move(record));
    }
    return records;
}

} // namespace

http_response make_response(running_query& running)
{
    const auto coverage = running.state.coverage();
    if (coverage <= 0 || coverage < running.minimum_coverage)
        return insufficient_coverage_response(running, coverage);
    auto missing = missing_json(running.state);
    const bool complete = missing.empty();
    const json body{
        {"request_id", running.context.request_id},
        {"answer", complete ? "complete" : "partial"},
        {"snapshot", running.state.start().snapshot},
        {"bundle_version", running.context.in_force->version},
        {"coverage", {{"fraction", coverage}, {"missing", std::move(missing)}}},
        {"records", extract_records(running)},
        {"attempts", running.state.attempts()},
        {"shards", running.state.plan().parts.size()},
    };
    http_response response;
    response.status = complete ? http_ok : http_partial;
    response.headers = {
        {"Coverage", std::to_string(coverage)},
        {"Answer", complete ? "complete" : "partial"}};
    response.body = body.dump();
    return response;
}

query_trace make_trace(
    running_query& running, const http_response& response, time_point now)
{
    query_trace trace;
    trace.request_id = running.context.request_id;
    trace.search = running.search_id;
    trace.version = running.context.in_force->version;
    trace.snapshot = running.state.start().snapshot;
    trace.status = response.status;
    trace.coverage = running.state.coverage();
    trace.elapsed =
        std::chrono::duration_cast<microseconds>(now - running.context.arrived);
    trace.plan = running.state.plan().parts;
    trace.missing = running.state.missing();
    trace.attempts = std::move(running.attempt_traces);
    return trace;
}

} // namespace peridotward
