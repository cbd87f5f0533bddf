#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace peridotward {

/// \returns This instance's share of `total` requests that the whole fleet may
/// send to the replica `id`; the shares of all instances add up to `total`.
///
/// \remarks Where `total` does not divide evenly, the instances with the
/// highest rendezvous weight for this replica send one request more.
///
/// \param others The names of the other instances.
[[nodiscard]] std::uint32_t fleet_share(
    std::uint32_t total,
    std::string_view id,
    std::string_view self,
    std::span<const std::string> others);

} // namespace peridotward
