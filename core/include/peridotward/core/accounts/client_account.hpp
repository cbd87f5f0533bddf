#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace peridotward {

/// \brief Limit on the requests of one client account, over all instances
/// together; the default value is no limit.
struct account_quota
{
    double per_second = 0; ///< Requests per second; 0 for no limit.
    double burst = 0;      ///< Requests in addition to the rate.

    /// \returns Whether there is a limit.
    [[nodiscard]] bool limited() const noexcept { return per_second > 0; }

    bool operator==(const account_quota&) const = default;
};

/// \brief An account whose callers send requests with one of its keys.
struct client_account
{
    std::string name; ///< As upstreams know it.
    /// Replaces the priority of the route; 0 is the most urgent.
    std::optional<std::int32_t> priority;
    account_quota quota;
};

} // namespace peridotward
