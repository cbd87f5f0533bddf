#include <peridotward/base/hash.hpp>
#include <peridotward/core/budgets/fleet_share.hpp>

#include <algorithm>

namespace peridotward {

std::uint32_t fleet_share(
    std::uint32_t total,
    std::string_view id,
    std::string_view self,
    std::span<const std::string> others)
{
    const auto fleet_size = static_cast<std::uint32_t>(others.size()) + 1;
    const auto base_share = total / fleet_size;
    const auto remainder = total % fleet_size;
    if (remainder == 0)
        return base_share;
    const auto own_weight = rendezvous_weight(id, self);
    const auto higher_ranked =
        std::count_if(others.begin(), others.end(), [&](const auto& other) {
            return rendezvous_weight(id, other) > own_weight;
        });
    return base_share +
           (static_cast<std::uint32_t>(higher_ranked) < remainder ? 1 : 0);
}

} // namespace peridotward
