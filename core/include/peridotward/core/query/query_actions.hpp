#pragma once

#include <peridotward/core/query/attempt.hpp>

#include <vector>

namespace peridotward {

/// \brief Actions that the owner of a query must carry out.
struct query_actions
{
    std::vector<attempt> send;
    std::vector<attempt_id> cancel;
    bool finished = false;
    /// No upstream serves the pinned snapshot for some part; the owner can call
    /// `query::replan`.
    bool snapshot_lost = false;

    void clear() noexcept
    {
        send.clear();
        cancel.clear();
        finished = false;
        snapshot_lost = false;
    }
};

/// \brief A key range that is missing from an answer, and the reason.
struct missing_range
{
    key_range range;
    attempt_outcome reason = attempt_outcome::not_sent;
};

} // namespace peridotward
