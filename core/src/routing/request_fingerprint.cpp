#include <peridotward/base/hash.hpp>
#include <peridotward/core/routing/request_fingerprint.hpp>

#include <cinttypes>
#include <cstdio>

namespace peridotward {

request_fingerprints fingerprints_of(const request_identity& request) noexcept
{
    const auto path = request.target.substr(0, request.target.find('?'));
    std::uint64_t similar = 0;
    for (const auto part :
         {request.credentials,
          request.method,
          request.host,
          path,
          request.body})
        similar = hash_of(part, similar);
    const auto query = request.target.substr(path.size());
    const auto exact = hash_of(request.caller, hash_of(query, similar));
    return {request_fingerprint{exact}, request_fingerprint{similar}};
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
