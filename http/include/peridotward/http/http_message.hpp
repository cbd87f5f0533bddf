#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotward {

/// \brief Header fields in order. Names are case-insensitive.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// \returns The value of the first field with this name, or an empty string.
[[nodiscard]] std::string_view
find_header(const http_headers& headers, std::string_view name) noexcept;

/// \brief Request that a server received.
struct http_request
{
    std::string method; ///< In upper case.
    std::string path;
    http_headers query;
    http_headers headers;
    std::string body;
    std::string peer_host; ///< IP address of the sender.
};

/// \brief Response that a server sends.
struct http_response
{
    std::uint16_t status = 200;
    std::string body;
    std::string content_type = "application/json";
    http_headers headers;
    bool close = false; ///< Sends `Connection: close`.
};

} // namespace peridotward
