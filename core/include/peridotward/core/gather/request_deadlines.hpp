#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/routing/forward_config.hpp>

#include <optional>

namespace peridotward {

/// \brief Times of one request.
struct forward_times
{
    time_point arrived;
    /// Latest time at which an answer can be sent and still reach the caller
    /// within the target latency, and so with its full value. Not later than
    /// `arrived` if earlier attempts of the caller have used the target latency
    /// up.
    time_point full_value_until;
    /// The final answer must be sent by then.
    time_point answer_deadline;
    /// The caller stops waiting then; this deadline is sent to upstreams.
    time_point caller_deadline;
};

/// \brief Timing of a request, from the caller's side.
struct caller_timing
{
    time_point arrived;
    std::optional<duration> time_left; ///< As stated by the caller.
    duration round_trip{};             ///< To the caller and back.
};

/// \brief Computes the deadlines of the requests of one route.
///
/// \remarks A caller measures latency from the start of its first attempt.
/// All callers of a route are assumed to wait equally long, so a caller that
/// states less time than the longest stated so far has spent the difference on
/// connecting or on an earlier attempt.
class request_deadlines
{
public:
    /// Time reserved for building an answer and for timers that fire late.
    static constexpr milliseconds answer_margin{5};
    /// Time reserved before the caller deadline, so that the final answer
    /// arrives at the caller.
    static constexpr milliseconds final_margin{12};

    [[nodiscard]] forward_times
    compute(const forward_route& route, const caller_timing& caller);

private:
    duration longest_wait_{};
};

} // namespace peridotward
