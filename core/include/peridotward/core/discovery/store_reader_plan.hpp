#pragma once

#include <peridotward/core/membership/membership.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Which instances read the store, and which of them the others query.
///
/// \remarks Reads of the store are billed, and their permitted rate grows more
/// slowly than the fleet. In a large fleet a few instances therefore read the
/// store and relay changes. Live members of the highest capacity are preferred,
/// since a large change is sent to many followers at once; ties are broken by
/// rendezvous hashing, and each failure domain gets one reader first. Members
/// with different views of the fleet for a moment only cost extra reads.
struct store_reader_plan
{
    /// Maximum size of a fleet whose instances all read the store.
    static constexpr std::size_t small_fleet_size = 12;
    /// Min readers of a larger fleet; one may fail and another be slow.
    static constexpr std::size_t reader_count = 3;
    /// Instances of a failure domain from which the domain has a reader of its
    /// own, so that changes don't cross domains once for each instance.
    static constexpr std::size_t min_domain_size = 32;
    /// Instances for each reader, to which a reader relays all changes.
    static constexpr std::size_t max_instances_per_reader = 128;

    bool reads_store = true;
    /// Ids of the readers, in the order in which this instance queries them:
    /// those of its own failure domain first.
    std::vector<std::string> readers;
};

/// \returns The number of readers of a fleet above `small_fleet_size`.
[[nodiscard]] std::size_t
store_reader_count(std::size_t instances, std::size_t domains) noexcept;

/// \returns The plan of the instance to which `members` belongs.
[[nodiscard]] store_reader_plan plan_store_readers(const membership& members);

} // namespace peridotward
