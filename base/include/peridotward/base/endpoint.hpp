#pragma once

#include <peridotward/base/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief IPv4 address and port.
struct endpoint
{
    std::string host; ///< IPv4 address in dotted decimal notation.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;

    /// \returns The endpoint as `host:port`.
    [[nodiscard]] std::string text() const;
};

/// \brief Parses `a.b.c.d:port`.
///
/// \returns The endpoint, or `config_invalid` if the host is not an IPv4
/// address or the port is not in 1..65535. Host names are refused.
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

} // namespace peridotward
