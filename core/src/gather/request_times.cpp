#include <peridotward/core/gather/request_times.hpp>

#include <algorithm>

namespace peridotward {

forward_times
caller_patience::place(const forward_route& route, const caller_clock& caller)
{
    const auto stated = caller.time_left.value_or(route.timeout);
    longest_ = std::max(longest_, stated);
    const auto spent = longest_ - stated;
    const auto time = std::min(stated, route.timeout);
    const auto margin = std::min<duration>(final_margin, time / 4);
    forward_times times;
    times.arrived = caller.arrived;
    times.abandoned_at = caller.arrived + time;
    times.final_by = times.abandoned_at - margin;
    times.worth_until = std::min(
        caller.arrived - spent + route.target_latency - caller.round_trip -
            answer_work,
        times.final_by);
    return times;
}

} // namespace peridotward
