#pragma once

#include <peridotward/core/placement/replica_selector.hpp>

#include <cstdint>

namespace peridotward {

/// \brief How many connections one instance may have to one replica.
///
/// \remarks A replica bounds the connections of all instances together and
/// resets the others. Instances that callers are told of divide most of the
/// bound; the rest is for single requests that reach other instances.
struct connection_share
{
    /// Part of the bound that is divided.
    static constexpr double divided = 0.8;
    /// Enough for what one instance has under way at one replica.
    static constexpr std::uint32_t max_connections = 8;

    /// \param bound Of the replica; 0 for none.
    /// A replica is crowded when each of its slots has more than this many
    /// requests: those that come last are late.
    static constexpr std::uint32_t crowded_rounds = 2;

    /// \returns How many requests this instance may have under way at the
    /// replica: one while it is crowded, as others send to it as well.
    [[nodiscard]] static std::uint32_t
    at(const replica& to,
       std::uint32_t bound,
       const fleet_view& fleet,
       time_point now) noexcept;

    [[nodiscard]] static std::uint32_t
    of(std::uint32_t bound, const fleet_view& fleet) noexcept;
};

} // namespace peridotward
