#include <peridotward/core/budgets/retry_budget_window.hpp>

#include <algorithm>

namespace peridotward {

void retry_budget_window::advance(
    const retry_bounds& bounds, time_point now) noexcept
{
    const duration length = bounds.window / slices;
    if (head_start_ == time_point{})
        head_start_ = now;
    auto passed = (now - head_start_) / length;
    if (passed <= 0)
        return;
    head_start_ += passed * length;
    passed = std::min<decltype(passed)>(
        passed, static_cast<decltype(passed)>(ring_.size()));
    for (; passed > 0; --passed) {
        head_ = (head_ + 1) % ring_.size();
        ring_.at(head_) = {};
    }
}

void retry_budget_window::on_request(
    const retry_bounds& bounds, time_point now) noexcept
{
    advance(bounds, now);
    ++ring_.at(head_).requests;
}

retry_budget_window::totals retry_budget_window::count(
    const retry_bounds& bounds,
    std::uint32_t instances,
    time_point now) noexcept
{
    advance(bounds, now);
    double requests = 0;
    double repeats = 0;
    for (std::size_t age = 0; age < ring_.size(); ++age) {
        const auto& past =
            ring_.at((head_ + ring_.size() - age) % ring_.size());
        repeats += past.repeats;
        if (age < slices)
            requests += past.requests;
    }
    const double extra =
        bounds.burst_allowance / std::max<std::uint32_t>(instances, 1);
    return {bounds.ratio * requests + extra, repeats};
}

double retry_budget_window::remaining(
    const retry_bounds& bounds,
    std::uint32_t instances,
    time_point now) noexcept
{
    const auto sums = count(bounds, instances, now);
    return sums.allowed - sums.spent;
}

bool retry_budget_window::try_spend(
    const retry_bounds& bounds,
    std::uint32_t instances,
    extra_attempt_kind use,
    time_point now) noexcept
{
    const auto sums = count(bounds, instances, now);
    const double kept =
        use == extra_attempt_kind::hedge ? retry_reserve * sums.allowed : 0;
    if (sums.allowed - kept - sums.spent < 1)
        return false;
    ++ring_.at(head_).repeats;
    return true;
}

void retry_budget_window::refund() noexcept
{
    auto& filling = ring_.at(head_);
    if (filling.repeats > 0)
        --filling.repeats;
}

} // namespace peridotward
