#pragma once

#include <peridotward/base/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief IP number and port.
struct endpoint
{
    std::string host; ///< IPv4 number in dotted form.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    /// \returns The form `host:port`.
    [[nodiscard]] std::string text() const;
};

/// \brief Reads `a.b.c.d:port`.
///
/// \returns The endpoint, or `config_invalid` when the host is not an IPv4
/// number or the port is not in 1..65535. Host names are refused.
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

} // namespace peridotward
