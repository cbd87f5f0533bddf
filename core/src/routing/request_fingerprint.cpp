#include <peridotward/base/hash.hpp>
#include <peridotward/core/routing/request_fingerprint.hpp>

#include <cinttypes>
#include <cstdio>

namespace peridotward {

request_fingerprint fingerprint_of(const request_identity& request) noexcept
{
    std::uint64_t hash = 0;
    for (const auto part :
         {request.caller,
          request.method,
          request.host,
          request.target,
          request.body})
        hash = hash_of(part, hash);
    return request_fingerprint{hash};
}

std::string to_text(request_fingerprint fingerprint)
{
    char digits[17];
    std::snprintf(
        digits,
        sizeof digits,
        "%016" PRIx64,
        static_cast<std::uint64_t>(fingerprint));
    return digits;
}

} // namespace peridotward
