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
    time_point worth_until;
    /// A final answer must leave by then.
    time_point final_by;
    /// The caller waits until then; upstreams are told so.
    time_point abandoned_at;
};

/// \brief What a request brought with it.
struct caller_clock
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
class caller_patience
{
public:
    /// Kept for the work on an answer and late timers, before it leaves.
    static constexpr milliseconds answer_work{5};
    /// Kept at the end of a caller's time, so that the final answer arrives.
    static constexpr milliseconds final_margin{12};

    [[nodiscard]] forward_times
    place(const forward_route& route, const caller_clock& caller);

private:
    duration longest_{};
};

} // namespace peridotward
