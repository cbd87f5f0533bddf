#pragma once

#include <peridotward/core/placement/replica_choice.hpp>

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
    static constexpr std::uint32_t most = 8;

    /// \param bound Of the replica; 0 for none.
    [[nodiscard]] static std::uint32_t
    of(std::uint32_t bound, const fleet_view& fleet) noexcept;
};

} // namespace peridotward
