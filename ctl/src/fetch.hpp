#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/http/http_client.hpp>

namespace peridotward::ctl {

/// Runs one exchange and waits for its end.
[[nodiscard]] result<client_response> exchange_once(client_request request);

} // namespace peridotward::ctl
