#include <peridotward/core/gather/request_deadlines.hpp>

#include <algorithm>

namespace peridotward {

forward_times request_deadlines::compute(
    const forward_route& route, const caller_timing& caller)
{
    const auto stated = caller.time_left.value_or(route.timeout);
    longest_wait_ = std::max(longest_wait_, stated);
    const auto spent = longest_wait_ - stated;
    const auto time = std::min(stated, route.timeout);
    const auto margin = std::min<duration>(final_margin, time / 4);
    forward_times times;
    times.arrived = caller.arrived;
    times.caller_deadline = caller.arrived + time;
    times.answer_deadline = times.caller_deadline - margin;
    times.full_value_until = std::min(
        caller.arrived - spent + route.target_latency - caller.round_trip -
            answer_margin,
        times.answer_deadline);
    return times;
}

} // namespace peridotward
