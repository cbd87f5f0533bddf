#pragma once

#include <peridotward/base/time.hpp>

namespace peridotward {

/// \brief Tolerance of the quotas of client accounts: in any sliding window,
/// all instances together run at most
/// (rate x window + burst) x (1 + over) + slack requests of an account.
struct quota_bounds
{
    duration window = seconds{5};
    double over = 0.25; ///< Relative tolerance, at least 0.
    double slack = 20;  ///< Requests in addition.

    bool operator==(const quota_bounds&) const = default;
};

} // namespace peridotward
