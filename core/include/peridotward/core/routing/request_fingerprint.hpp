#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Hash of what stays the same when a request is sent again.
enum class request_fingerprint : std::uint64_t
{
};

/// \brief The parts of a request that may stay the same when it is sent again;
/// its id and the time left don't.
struct request_identity
{
    std::string_view caller;      ///< Network address, without the port.
    std::string_view credentials; ///< Value of the field Authorization.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view body;
};

/// \brief Fingerprints of a request, narrow and wide.
struct request_fingerprints
{
    request_fingerprint exact{}; ///< Of all parts.
    /// Without the caller's address and the query, which may differ when one
    /// account sends the same request from several machines.
    request_fingerprint similar{};
};

[[nodiscard]] request_fingerprints
fingerprints_of(const request_identity& request) noexcept;

/// \returns The fingerprint as 16 hexadecimal digits.
[[nodiscard]] std::string to_text(request_fingerprint fingerprint);

} // namespace peridotward
