#include <peridotward/core/admission/shutdown_schedule.hpp>

#include <algorithm>

namespace peridotward {

shutdown_schedule::shutdown_schedule(time_point begin, duration grace) noexcept
    : close_idle_at_{begin + idle_close_delay},
      answer_by_{begin + std::max<duration>(grace - answer_reserve, {})},
      exit_by_{begin + std::max<duration>(grace - exit_reserve, {})}
{}

bool shutdown_schedule::fits(
    const forward_times& times,
    retry_safety safety,
    const latency_profile& profile,
    time_point now) const noexcept
{
    if (times.answer_deadline <= answer_by_)
        return true;
    if (safety != retry_safety::idempotent ||
        profile.hedge_after() == duration::zero())
        return false;
    return now + expected_time_factor * profile.hedge_after() <= answer_by_;
}

forward_times shutdown_schedule::limit(forward_times times) const noexcept
{
    times.caller_deadline = std::min(times.caller_deadline, answer_by_);
    times.answer_deadline = std::min(times.answer_deadline, answer_by_);
    times.full_value_until = std::min(times.full_value_until, answer_by_);
    return times;
}

} // namespace peridotward
