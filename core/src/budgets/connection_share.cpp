#include <peridotward/core/budgets/connection_share.hpp>

#include <algorithm>

namespace peridotward {

std::uint32_t
connection_share::of(std::uint32_t bound, const fleet_view& fleet) noexcept
{
    if (bound == 0)
        return max_connections;
    if (!fleet.sends)
        return 1;
    const auto senders = std::max<std::uint32_t>(fleet.senders, 1);
    const auto share =
        static_cast<std::uint32_t>(divided_share * bound / senders);
    return std::clamp(share, 1U, max_connections);
}

duration connection_share::max_idle(
    std::uint32_t bound, const fleet_view& fleet) noexcept
{
    const auto instances = static_cast<double>(fleet.others.size()) + 1;
    const auto senders = std::clamp<double>(fleet.senders, 1, instances);
    const bool shared =
        fleet.sends ? senders <= divided_share * bound
                    : instances - senders <= (1 - divided_share) * bound;
    return bound == 0 || shared ? duration::max() : duration{max_unshared_idle};
}

std::uint32_t connection_share::at(
    const replica& target,
    std::uint32_t bound,
    const fleet_view& fleet,
    time_point now) noexcept
{
    const auto crowded_above =
        crowded_requests_per_slot * target.published.slots;
    return target.health.crowded(crowded_above, now) ? 1 : of(bound, fleet);
}

} // namespace peridotward
