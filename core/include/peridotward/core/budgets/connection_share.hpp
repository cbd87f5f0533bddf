#pragma once

#include <peridotward/core/placement/replica_selector.hpp>

#include <cstdint>

namespace peridotward {

/// \brief Limit on the connections of one instance to one replica.
///
/// \remarks A replica limits the connections of all instances together and
/// resets those above the limit. Most of the limit is divided among the
/// instances that are published to callers; the rest is for single requests
/// that reach other instances.
struct connection_share
{
    /// Share of the replica's limit that is divided.
    static constexpr double divided_share = 0.8;
    /// Upper limit of concurrent requests of one instance to one replica.
    static constexpr std::uint32_t max_connections = 8;

    /// Requests per slot above which a replica counts as crowded: the last ones
    /// are answered late.
    static constexpr std::uint32_t crowded_requests_per_slot = 2;

    /// \param bound Connection limit of the replica; 0 for none.
    /// \returns How many concurrent requests this instance may send to the
    /// replica: one while the replica is crowded, since others send to it as
    /// well.
    [[nodiscard]] static std::uint32_t
    at(const replica& target,
       std::uint32_t bound,
       const fleet_view& fleet,
       time_point now) noexcept;

    [[nodiscard]] static std::uint32_t
    of(std::uint32_t bound, const fleet_view& fleet) noexcept;

    /// Idle time after which a connection is closed that has no part of the
    /// limit: some requests of one caller follow each other more closely.
    static constexpr milliseconds max_unshared_idle{250};

    /// \returns How long a connection may stay idle. If there are more
    /// instances than a replica allows connections, those that each of them
    /// kept would leave none for the others.
    [[nodiscard]] static duration
    max_idle(std::uint32_t bound, const fleet_view& fleet) noexcept;
};

} // namespace peridotward
