#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/http/http_client.hpp>

namespace peridotward::ctl {

/// Sends one HTTP request and waits for the response.
///
/// \returns The response, or `io_failed` without one.
[[nodiscard]] result<client_response> fetch_response(client_request request);

} // namespace peridotward::ctl
