#include <peridotward/core/gather/latency_profile.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Latency quantile after which a hedge is sent. The fraction of slower
/// answers is the fraction of hedged attempts, which must fit into the budget
/// of extra attempts.
constexpr double hedge_quantile = 0.92;
/// Answers between two updates of the quantiles.
constexpr std::uint32_t refresh_interval = 32;
/// Minimum delay before a hedge, in median latencies.
constexpr double min_delay_factor = 1.5;

} // namespace

void latency_profile::add(duration latency) noexcept
{
    recent_.add(latency);
    if (++since_refresh_ >= refresh_interval || recent_.count() == min_answers)
        refresh();
}

void latency_profile::refresh() noexcept
{
    since_refresh_ = 0;
    if (recent_.count() < min_answers)
        return;
    median_ = recent_.quantile(0.5);
    const auto min_delay =
        std::chrono::duration_cast<duration>(median_ * min_delay_factor);
    hedge_after_ = std::max(min_delay, recent_.quantile(hedge_quantile));
}

} // namespace peridotward
