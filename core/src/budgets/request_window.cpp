#include <peridotward/core/budgets/request_window.hpp>

#include <algorithm>

namespace peridotward {

bool request_window::try_acquire(std::uint32_t allowance, time_point now)
{
    while (!sent_times_.empty() && now - sent_times_.front() >= span_)
        sent_times_.pop_front();
    if (sent_times_.size() >= allowance)
        return false;
    sent_times_.push_back(now);
    return true;
}

void request_window::release(time_point acquired_at) noexcept
{
    const auto [first, last] =
        std::equal_range(sent_times_.begin(), sent_times_.end(), acquired_at);
    if (first != last)
        sent_times_.erase(first);
}

std::uint32_t
request_window::count(duration span, time_point now) const noexcept
{
    const auto first =
        std::upper_bound(sent_times_.begin(), sent_times_.end(), now - span);
    return static_cast<std::uint32_t>(sent_times_.end() - first);
}

time_point
request_window::earliest_retry(std::uint32_t allowance, time_point now) const
{
    if (allowance == 0)
        return time_point::max();
    if (sent_times_.size() < allowance)
        return now;
    return std::max(now, sent_times_[sent_times_.size() - allowance] + span_);
}

} // namespace peridotward
