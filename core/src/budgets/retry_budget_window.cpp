#include <peridotward/core/budgets/retry_budget_window.hpp>

#include <algorithm>

namespace peridotward {

void retry_budget_window::advance(
    const retry_bounds& bounds, time_point now) noexcept
{
    const duration length = bounds.window / slices;
    if (head_start_ == time_point{})
        head_start_ = now;
    auto elapsed_slices = (now - head_start_) / length;
    if (elapsed_slices <= 0)
        return;
    head_start_ += elapsed_slices * length;
    elapsed_slices = std::min<decltype(elapsed_slices)>(
        elapsed_slices, static_cast<decltype(elapsed_slices)>(ring_.size()));
    for (; elapsed_slices > 0; --elapsed_slices) {
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
    const retry_bounds& bounds, double share, time_point now) noexcept
{
    advance(bounds, now);
    double requests = 0;
    double extra_attempts = 0;
    for (std::size_t age = 0; age < ring_.size(); ++age) {
        const auto& slice_counts =
            ring_.at((head_ + ring_.size() - age) % ring_.size());
        extra_attempts += slice_counts.extra_attempts;
        if (age < slices)
            requests += slice_counts.requests;
    }
    return {
        bounds.ratio * requests + share * bounds.burst_allowance,
        extra_attempts};
}

double retry_budget_window::remaining(
    const retry_bounds& bounds, double share, time_point now) noexcept
{
    const auto sums = count(bounds, share, now);
    return sums.allowed - sums.spent;
}

bool retry_budget_window::try_spend(
    const retry_bounds& bounds,
    double share,
    extra_attempt_kind kind,
    time_point now) noexcept
{
    const auto sums = count(bounds, share, now);
    const double reserved =
        kind == extra_attempt_kind::hedge ? retry_reserve * sums.allowed : 0;
    if (sums.allowed - reserved - sums.spent < 1)
        return false;
    ++ring_.at(head_).extra_attempts;
    return true;
}

void retry_budget_window::refund(
    const retry_bounds& bounds, time_point spent_at) noexcept
{
    // The slice of another time would leave the window sooner or later than the
    // attempts that are counted in it.
    const duration length = bounds.window / slices;
    std::size_t age = 0;
    for (auto begin = head_start_; spent_at < begin; begin -= length) {
        if (++age >= ring_.size())
            return;
    }
    auto& charged = ring_.at((head_ + ring_.size() - age) % ring_.size());
    if (charged.extra_attempts > 0)
        --charged.extra_attempts;
}

} // namespace peridotward
