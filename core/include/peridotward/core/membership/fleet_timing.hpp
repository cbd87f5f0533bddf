#pragma once

#include <peridotward/base/time.hpp>

namespace peridotward {

/// \brief Durations that all instances of a fleet must share.
struct fleet_timing
{
    /// How long a voter keeps a grant, counted from its receipt.
    duration lease_term = milliseconds{2000};
    /// Subtracted from a holder's lease for differing clock rates and for the
    /// network delay to the upstream.
    duration lease_margin = milliseconds{150};
    /// Interval between renewals of a held lease.
    duration renew_interval = milliseconds{500};
    /// Interval between requests for a lease that was not granted.
    duration retry_interval = milliseconds{200};
    /// How long a higher-ranked voter must have served before the holder hands
    /// a lease back to it.
    duration hand_back_wait = milliseconds{3000};
    /// How long a vote stays unused before a lower-ranked voter requests the
    /// lease; multiplied by the rank.
    duration vacancy_wait = milliseconds{1000};
    /// Longest gap between two calls that does not count as a pause of the
    /// process.
    duration pause_limit = milliseconds{1500};
    /// Delay before an increased share of a domain's limit is used, so that
    /// other instances have reduced theirs.
    duration share_settle = milliseconds{5000};
    /// Interval between two probes that one instance sends.
    duration probe_interval = milliseconds{200};
    /// Wait for the answer to a direct probe before indirect probes are sent.
    duration probe_timeout = milliseconds{100};
    /// Time from a probe until a member that has not answered is suspected.
    duration probe_limit = milliseconds{300};
    /// Time from suspicion until the member is declared dead, unless it refutes
    /// the suspicion.
    duration suspicion_time = milliseconds{900};
};

} // namespace peridotward
