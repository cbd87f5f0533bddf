#include <peridotward/core/budgets/cold_limit.hpp>
#include <peridotward/core/budgets/fleet_share.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

std::uint32_t cold_allowance(
    std::string_view id,
    double rate,
    const cold_bounds& bounds,
    std::string_view self,
    std::span<const std::string> instances)
{
    const auto total = static_cast<std::uint32_t>(std::floor(
        std::max(0.0, rate * bounds.rate_factor + bounds.burst_allowance)));
    return fleet_share(total, id, self, instances);
}

} // namespace peridotward
