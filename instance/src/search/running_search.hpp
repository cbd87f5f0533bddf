#pragma once

#include "callers/request_context.hpp"
#include "callers/search_arguments.hpp"
#include "search/attempt_port.hpp"
#include "search/query_trace.hpp"

#include <peridotward/core/query/query.hpp>

#include <string>
#include <vector>

namespace peridotward {

/// A search that waits for admission.
struct waiting_search
{
    request_context context;
    search_index wanted;
    search_arguments arguments;
};

/// One search between its admission and its answer.
struct running_search
{
    request_context context;
    double minimum_coverage = 0;
    std::string lane; ///< Id of the search.
    time_point started;
    search_job job;
    query state;
    std::vector<json> records;        ///< One array for each part of the plan.
    std::vector<attempt_trace> trace; ///< By the number of the attempt.
    time_point armed = time_point::max(); ///< Earliest timer that is set.
};

/// \returns The answer to the caller; takes the records.
[[nodiscard]] http_response render_answer(running_search& run);

/// \returns What operators may ask of the finished search; takes the trace.
[[nodiscard]] query_trace
trace_of(running_search& run, const http_response& response, time_point now);

} // namespace peridotward
