#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotward {

/// \brief Header fields in order; names compare without case.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// \returns The value of the field called `name`, or an empty text.
[[nodiscard]] std::string_view
find_header(const http_headers& headers, std::string_view name) noexcept;

/// \brief One request that a listener received.
struct http_request
{
    std::string method; ///< In capitals.
    std::string path;
    http_headers query;
    http_headers headers;
    std::string body;
    std::string peer_host; ///< IP number of the sender.
};

/// \brief One answer that a listener sends.
struct http_response
{
    std::uint16_t status = 200;
    std::string body;
    std::string content_type = "application/json";
    http_headers headers;
    bool close = false; ///< Ask the sender to connect anew.
};

} // namespace peridotward
