#include <peridotward/core/budgets/fleet_share.hpp>
#include <peridotward/core/budgets/rate_share.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

namespace {

constexpr seconds one_second{1};

/// Upper limit of a named rate; no replica takes as many requests.
constexpr double max_rate = 1e6;

std::uint32_t within_a_second(std::uint32_t share) noexcept
{
    constexpr std::uint32_t spans = rate_share::window / one_second;
    return (share + spans - 1) / spans;
}

} // namespace

std::uint32_t rate_share::of(
    double per_second,
    std::string_view id,
    std::string_view self,
    std::span<const std::string> others)
{
    const auto total = static_cast<std::uint32_t>(
        std::min(per_second, max_rate) * std::chrono::seconds{window}.count());
    return fleet_share(std::max(total, 1U), id, self, others);
}

bool rate_share::try_acquire(std::uint32_t share, time_point now)
{
    return sent_.count(one_second, now) < within_a_second(share) &&
           sent_.try_acquire(share, now);
}

time_point rate_share::earliest_retry(std::uint32_t share, time_point now) const
{
    const auto in_window = sent_.earliest_retry(share, now);
    return sent_.count(one_second, now) < within_a_second(share)
               ? in_window
               : std::max(in_window, now + one_second);
}

} // namespace peridotward
