#pragma once

#include <compare>
#include <cstdint>

namespace peridotward {

/// \brief A position in the store's history of changes.
///
/// \remarks When the store comes back from an older copy of itself, a new era
/// begins and the revisions of the lost changes are given out again. Revisions
/// of different eras can therefore not be compared.
struct store_position
{
    std::uint64_t era = 0; ///< 0 if the store states none.
    std::uint64_t revision = 0;

    auto operator<=>(const store_position&) const = default;
};

} // namespace peridotward
