#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/placement/replica_health.hpp>

#include <optional>

namespace peridotward {

/// \brief What an answer says of the upstream that sent it.
struct answer_notice
{
    /// The upstream is leaving, and never returns from that within one start.
    bool leaving = false;
    /// For so long it wants no requests.
    std::optional<duration> pause;
    /// Remaining time of its cold start.
    std::optional<duration> cold_left;
    std::optional<reported_load> load;
    /// Whether `rate_limit` holds from now on.
    bool tells_rate_limit = false;
    /// Requests a second that it takes from all instances together.
    std::optional<double> rate_limit;
};

/// \brief What changed by a notice.
struct notice_changes
{
    bool leaving = false;
    bool paused = false;     ///< Wasn't paused before.
    bool rate_limit = false; ///< A limit began or ended.
};

} // namespace peridotward
