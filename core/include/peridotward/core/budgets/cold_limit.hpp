#pragma once

#include <peridotward/core/budgets/request_window.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Limits on the requests that the whole fleet sends to a replica during
/// its cold start.
struct cold_bounds
{
    double rate_factor = 1.5;   ///< Multiple of the configured rate.
    double burst_allowance = 5; ///< Requests above that rate in one second.

    bool operator==(const cold_bounds&) const = default;
};

/// \returns This instance's share of the requests a second that the fleet may
/// send to the cold replica `id`.
[[nodiscard]] std::uint32_t cold_allowance(
    std::string_view id,
    double rate,
    const cold_bounds& bounds,
    std::string_view self,
    std::span<const std::string> instances);

/// \brief Counter of the requests to one cold replica within a second.
class cold_window : public request_window
{
public:
    cold_window() noexcept : request_window{seconds{1}} {}
};

} // namespace peridotward
