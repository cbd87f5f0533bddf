#pragma once

#include <peridotward/core/membership/membership.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Who reads the store, and whom the others ask.
///
/// \remarks Reads of the store are priced and their rate grows more slowly
/// than the fleet, so in a large fleet a few instances read and pass on what
/// changed. The strongest live members are chosen, since a large change goes
/// to many followers at once; among equals by rendezvous hashing, and one for
/// each failure domain first. Views that differ for a moment only cost calls.
struct store_reader_plan
{
    /// Fleets up to this size read the store themselves.
    static constexpr std::size_t small_fleet = 12;
    /// Readers of a larger fleet; one may fail and one be slow.
    static constexpr std::size_t reader_count = 3;

    bool reads_store = true;
    /// Seats of the readers in the order in which this instance asks them:
    /// the own failure domain first.
    std::vector<std::string> readers;
};

/// \returns The plan of the instance that `seen` belongs to.
[[nodiscard]] store_reader_plan plan_store_readers(const membership& seen);

} // namespace peridotward
