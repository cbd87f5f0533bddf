#pragma once

#include <peridotward/core/membership/instance_selector.hpp>

#include <algorithm>
#include <cstdint>

namespace peridotward {

/// \brief Weights by which instances share a budget of the whole fleet.
///
/// \remarks The directory lists weaker instances only when strong ones are busy
/// or too few, so most requests, and the retries that they need, are sent by
/// strong ones. An equal share would leave most of the budget to instances
/// that send nothing. The weights depend on capacities only, so that the shares
/// add up to the budget whichever instances are listed.
struct sender_weight
{
    /// Weight of a strong instance; a weaker one has weight 1, which is for the
    /// callers that it has while strong instances are busy or lost.
    static constexpr std::uint32_t strong = 16;

    /// \param capacity In thousandths of a core; 0: unknown.
    /// \param max_capacity The greatest capacity in the fleet.
    [[nodiscard]] static constexpr std::uint32_t
    of(std::uint32_t capacity, std::uint32_t max_capacity) noexcept
    {
        return capacity >=
                       directory_selector::strong_capacity_share * max_capacity
                   ? strong
                   : 1;
    }
};

} // namespace peridotward
