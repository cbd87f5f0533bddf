#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Hash of all that makes a request the same when it is sent again.
enum class request_fingerprint : std::uint64_t
{
};

/// \brief The parts of a request that stay the same when its caller sends it
/// again; its id and the time left don't.
struct request_identity
{
    std::string_view caller; ///< Network address, without the port.
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

[[nodiscard]] request_fingerprint
fingerprint_of(const request_identity& request) noexcept;

/// \returns The fingerprint as 16 hexadecimal digits.
[[nodiscard]] std::string to_text(request_fingerprint fingerprint);

} // namespace peridotward
