#include "queries/running_query.hpp"

namespace peridotward {

namespace {

constexpr milliseconds retry_after{100};
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_partial = 206;

http_response refuse(const running_query& run, double coverage)
{
    const auto kind = run.state.anything_sent() ? error_kind::coverage_too_low
                                                : error_kind::no_capacity;
    return refusal(
        {kind,
         "coverage is " + std::to_string(coverage) + ", wanted " +
             std::to_string(run.minimum_coverage)},
        run.context.request_id,
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

json take_records(running_query& run)
{
    json records = json::array();
    for (auto& part : run.records) {
        for (auto& record : part)
            records.push_back(std::move(record));
    }
    return records;
}

} // namespace

http_response render_answer(running_query& run)
{
    const auto coverage = run.state.coverage();
    if (coverage <= 0 || coverage < run.minimum_coverage)
        return refuse(run, coverage);
    auto missing = missing_json(run.state);
    const bool complete = missing.empty();
    const json body{
        {"request_id", run.context.request_id},
        {"answer", complete ? "complete" : "partial"},
        {"snapshot", run.state.start().snapshot},
        {"bundle_version", run.context.in_force->version},
        {"coverage", {{"fraction", coverage}, {"missing", std::move(missing)}}},
        {"records", take_records(run)},
        {"attempts", run.state.attempts()},
        {"shards", run.state.plan().parts.size()},
    };
    http_response response;
    response.status = complete ? http_ok : http_partial;
    response.headers = {
        {"Coverage", std::to_string(coverage)},
        {"Answer", complete ? "complete" : "partial"}};
    response.body = body.dump();
    return response;
}

query_trace
trace_of(running_query& run, const http_response& response, time_point now)
{
    query_trace trace;
    trace.request_id = run.context.request_id;
    trace.search = run.lane;
    trace.version = run.context.in_force->version;
    trace.snapshot = run.state.start().snapshot;
    trace.status = response.status;
    trace.coverage = run.state.coverage();
    trace.elapsed =
        std::chrono::duration_cast<microseconds>(now - run.context.arrived);
    trace.plan = run.state.plan().parts;
    trace.missing = run.state.missing();
    trace.attempts = std::move(run.trace);
    return trace;
}

} // namespace peridotward
