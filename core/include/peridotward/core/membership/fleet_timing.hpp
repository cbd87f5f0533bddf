#pragma once

#include <peridotward/base/time.hpp>

namespace peridotward {

/// \brief Times that all instances of a fleet agree on.
struct fleet_timing
{
    /// How long a voter keeps a grant, counted from its receipt.
    duration lease_term = milliseconds{2000};
    /// Taken off a holder's lease: clock rates and the way to the upstream.
    duration lease_margin = milliseconds{150};
    /// Between two renewals of a held lease.
    duration renew_interval = milliseconds{500};
    /// Between two requests for a lease that was not granted.
    duration retry_interval = milliseconds{200};
    /// How long a better ranked voter must serve before it gets a lease back.
    duration hand_back_wait = milliseconds{3000};
    /// How long a vote stays unused before a lower rank asks, for each rank.
    duration vacancy_wait = milliseconds{1000};
    /// Longest gap between two calls that does not count as a pause.
    duration pause_limit = milliseconds{1500};
    /// How long a raised share of a domain's limit waits for other instances.
    duration share_settle = milliseconds{5000};
    /// Between two probes that one instance sends.
    duration probe_interval = milliseconds{200};
    /// Wait for the answer to a direct probe.
    duration probe_timeout = milliseconds{100};
    /// From a probe to the suspicion of the silent member.
    duration probe_limit = milliseconds{300};
    /// From suspicion to death, unless the member refutes it.
    duration suspicion_time = milliseconds{900};
};

} // namespace peridotward
