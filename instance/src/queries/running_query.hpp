#pragma once

#include "callers/query_arguments.hpp"
#include "callers/request_context.hpp"
#include "queries/attempt_transport.hpp"
#include "queries/query_trace.hpp"

#include <peridotward/core/query/query.hpp>

#include <string>
#include <vector>

namespace peridotward {

/// A query that waits for admission.
struct queued_query
{
    request_context context;
    search_index search;
    query_arguments arguments;
};

/// A query between its admission and its response.
struct running_query
{
    request_context context;
    double minimum_coverage = 0;
    std::string search_id;
    time_point started;
    query_context shared_context;
    query state;
    std::vector<json> records; ///< One array per part of the plan.
    /// By attempt number, the first at 0.
    std::vector<attempt_trace> attempt_traces;
    time_point next_timer = time_point::max(); ///< The earliest one set.
};

/// \returns The response to the caller. Moves the records out of `running`.
[[nodiscard]] http_response make_response(running_query& running);

/// \returns The trace of a finished query, for `/v1/explain`. Moves the attempt
/// traces out of `running`.
[[nodiscard]] query_trace make_trace(
    running_query& running, const http_response& response, time_point now);

} // namespace peridotward
