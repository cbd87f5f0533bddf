#pragma once

#include "instance_state.hpp"

#include <peridotward/base/json.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/http/http_server.hpp>

#include <string>

namespace peridotward {

/// A caller's request with the data that the filters add.
struct request_context
{
    exchange_id exchange{};
    http_request http;
    json body;
    std::string request_id;
    bundle_ptr in_force; ///< Pinned for the whole request.
    time_point arrived;
    time_point deadline;
    caller_priority priority = caller_priority::normal;
    /// Whether `request_id` is in `instance_state::running_request_ids`.
    bool registered = false;
};

/// \returns The response for `problem`; `retry_after` is sent only for
/// kinds of errors that may be retried.
[[nodiscard]] http_response error_response(
    const error& problem,
    std::string_view request_id,
    milliseconds retry_after);

} // namespace peridotward
