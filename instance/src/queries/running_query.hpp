#pragma once

#include "callers/query_arguments.hpp"
#include "callers/request_context.hpp"
#include "queries/attempt_transport.hpp"
#include "queries/query_trace.hpp"

#include <peridotward/core/query/query.hpp>

#include <string>
#include <vector>

namespace peridotward {

/// A search that waits for admission.
struct queued_query
{
    request_context context;
    search_index wanted;
    query_arguments arguments;
};

/// One search between its admission and its answer.
struct running_query
{
    request_context context;
    double minimum_coverage = 0;
    std::string lane; ///< Id of the search.
    time_point started;
    query_context job;
    query state;
    std::vector<json> records;        ///< One array for each part of the plan.
    std::vector<attempt_trace> trace; ///< By the number of the attempt.
    time_point armed = time_point::max(); ///< Earliest timer that is set.
};

/// \returns The answer to the caller; takes the records.
[[nodiscard]] http_response render_answer(running_query& run);

/// \returns What operators may ask of the finished search; takes the trace.
[[nodiscard]] query_trace
trace_of(running_query& run, const http_response& response, time_point now);

} // namespace peridotward
