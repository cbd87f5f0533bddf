#include <peridotward/base/endpoint.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace peridotward {

std::string endpoint::text() const
{
    return host + ":" + std::to_string(port);
}

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    const auto invalid_endpoint = [&] {
        return fail(
            error_kind::config_invalid,
            "\"" + std::string{text} +
                "\" is not an IPv4 address and a port, as in 10.0.0.1:8080");
    };
    if (colon == std::string_view::npos)
        return invalid_endpoint();
    endpoint parsed{std::string{text.substr(0, colon)}, 0};
    const auto port = text.substr(colon + 1);
    const auto [end, code] =
        std::from_chars(port.data(), port.data() + port.size(), parsed.port);
    in_addr address{};
    const bool port_valid = code == std::errc{} &&
                            end == port.data() + port.size() &&
                            parsed.port != 0;
    if (!port_valid || inet_pton(AF_INET, parsed.host.c_str(), &address) != 1)
        return invalid_endpoint();
    return parsed;
}

} // namespace peridotward
