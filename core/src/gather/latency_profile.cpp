#include <peridotward/core/gather/latency_profile.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Share of answers that are there when a hedge is sent. The rest is the share
/// of hedges, which has to fit into the budget of repeats.
constexpr double hedge_quantile = 0.92;
/// Answers between two looks at the quantiles.
constexpr std::uint32_t refresh_interval = 32;
/// Shortest wait before a hedge, in median latencies.
constexpr double least_wait = 1.5;

} // namespace

void latency_profile::add(duration took) noexcept
{
    recent_.add(took);
    if (++since_refresh_ >= refresh_interval || recent_.count() == min_answers)
        refresh();
}

void latency_profile::refresh() noexcept
{
    since_refresh_ = 0;
    if (recent_.count() < min_answers)
        return;
    median_ = recent_.quantile(0.5);
    const auto least =
        std::chrono::duration_cast<duration>(median_ * least_wait);
    hedge_after_ = std::max(least, recent_.quantile(hedge_quantile));
}

} // namespace peridotward
