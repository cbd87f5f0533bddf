#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief What a replica in a cold start bears, over the whole fleet.
struct cold_bounds
{
    double rate_factor = 1.5;   ///< Times the told rate.
    double burst_allowance = 5; ///< Requests beyond it, in one second.

    bool operator==(const cold_bounds&) const = default;
};

/// \returns How many requests a second this instance may send to the cold
/// replica `id`, so that the fleet together stays within the bounds.
///
/// \remarks With fewer requests than instances, those that rank first by
/// rendezvous hashing for this replica send one each.
[[nodiscard]] std::uint32_t cold_allowance(
    std::string_view id,
    double rate,
    const cold_bounds& bounds,
    std::string_view self,
    std::span<const std::string> instances);

/// \brief Counts the requests sent to one cold replica.
class cold_window
{
public:
    /// \returns Whether one more may be sent within any second; counts it.
    [[nodiscard]] bool try_acquire(std::uint32_t allowance, time_point now);

    /// \returns When one more may be sent.
    [[nodiscard]] time_point
    earliest_retry(std::uint32_t allowance, time_point now) const;

private:
    std::deque<time_point> sent_;
};

} // namespace peridotward
