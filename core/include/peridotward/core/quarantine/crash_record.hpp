#pragma once

#include <peridotward/core/routing/request_fingerprint.hpp>

#include <cstdint>

namespace peridotward {

/// \brief What the instances know of one request that has crashed upstreams.
///
/// \remarks Records of the same request merge: the later generation counts, and
/// within one generation the higher level.
struct crash_record
{
    request_fingerprint request{};
    /// Times that the request was answered after it had been suspected.
    std::uint32_t generation = 0;
    /// Length of the longest chain of crashes, each by an attempt that was sent
    /// when the ones before it were known. Upstreams that crash at the same
    /// time for another reason so raise the level by one at most.
    std::uint32_t level = 0;
    std::uint32_t seconds_left = 0; ///< Until the record is dropped.
};

} // namespace peridotward
