#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/routing/forward_config.hpp>

#include <optional>

namespace peridotward {

/// \brief Times of one request.
struct forward_times
{
    time_point arrived;
    /// Until then an answer that leaves has its full value for the caller. Not
    /// after `arrived` when the caller's earlier attempt used up that time.
    time_point full_value_until;
    /// A final answer must leave by then.
    time_point answer_deadline;
    /// The caller waits until then; upstreams are told so.
    time_point caller_deadline;
};

/// \brief What a request brought with it.
struct caller_timing
{
    time_point arrived;
    std::optional<duration> time_left; ///< As stated by the caller.
    duration round_trip{};             ///< To the caller and back.
};

/// \brief Places requests of one route in time.
///
/// \remarks A caller counts from the beginning of its first attempt. Callers
/// of one route wait equally long, so one that states less than others did has
/// spent the difference on connecting, or on an attempt before.
class request_deadlines
{
public:
    /// Kept for the work on an answer and late timers, before it leaves.
    static constexpr milliseconds answer_work{5};
    /// Kept at the end of a caller's time, so that the final answer arrives.
    static constexpr milliseconds final_margin{12};

    [[nodiscard]] forward_times
    compute(const forward_route& route, const caller_timing& caller);

private:
    duration longest_{};
};

} // namespace peridotward
