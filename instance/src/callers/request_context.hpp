#pragma once

#include "instance_state.hpp"

#include <peridotward/base/json.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/http/http_server.hpp>

#include <string>

namespace peridotward {

/// One caller's request on its way through the filters.
struct request_context
{
    exchange_id exchange{};
    http_request http;
    json body;
    std::string request_id;
    bundle_ptr in_force; ///< The one bundle this request uses.
    time_point arrived;
    time_point deadline;
    caller_priority priority = caller_priority::normal;
    bool registered = false; ///< Whether its id stands in `running_ids`.
};

/// \returns The answer that tells a caller of `problem`.
[[nodiscard]] http_response
refusal(const error& problem, std::string_view request_id, milliseconds wait);

} // namespace peridotward
