#pragma once

#include <peridotward/base/json.hpp>

#include <cstdint>

namespace peridotward::testing {

/// Counters of the connections and requests that one upstream received. Tests
/// compare them with what the instances report.
struct upstream_counters
{
    std::uint64_t requests = 0; ///< Searches, fetches and appends.
    std::uint64_t searches = 0;
    std::uint64_t fetches = 0;
    std::uint64_t appends = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t late = 0; ///< Ended at their deadline.
    std::uint64_t shed = 0;
    std::uint64_t foreign_ranges = 0; ///< Searches of a range of another
                                      ///< service's shard.
    /// Requests above the number of slots outside of a cold start.
    std::uint64_t slot_overruns = 0;
    /// Requests above the limit of the cold phase, not counting the
    /// unannounced.
    std::uint64_t cold_limit_violations = 0;
    /// Requests above the limit of the cold phase that were sent before a
    /// response reported the cold start.
    std::uint64_t unannounced_requests = 0;
    std::uint64_t connection_overruns = 0;
    std::uint64_t forbidden_requests = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t max_in_flight = 0;
    std::uint32_t connections = 0;
    std::uint32_t max_connections = 0;
    std::uint64_t connects = 0;
    double first_forbidden_ms = 0; ///< Since requests were forbidden.
    double last_forbidden_ms = 0;  ///< Since requests were forbidden.

    [[nodiscard]] json to_json() const;
};

} // namespace peridotward::testing
