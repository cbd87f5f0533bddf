#pragma once

#include <peridotward/core/query/attempt.hpp>

#include <vector>

namespace peridotward {

/// \brief What the owner of a query must do next.
struct query_actions
{
    std::vector<attempt> send;
    std::vector<attempt_id> cancel;
    bool finished = false;
    /// A part finds no upstream for the pinned snapshot: see `query::replan`.
    bool snapshot_lost = false;

    void clear() noexcept
    {
        send.clear();
        cancel.clear();
        finished = false;
        snapshot_lost = false;
    }
};

/// \brief A range that is missing from an answer, and why.
struct missing_range
{
    key_range range;
    attempt_outcome reason = attempt_outcome::not_sent;
};

} // namespace peridotward
