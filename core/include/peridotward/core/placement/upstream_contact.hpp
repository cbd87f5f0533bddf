#pragma once

#include <peridotward/core/discovery/upstream_catalog.hpp>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace peridotward {

/// \brief Finds out whether this instance has lost contact with all upstreams.
///
/// \remarks One upstream that is silent has a problem of its own. When several
/// were tried and nothing at all was heard from any, the instance is cut off:
/// other instances probably reach them.
class upstream_contact
{
public:
    /// Time without any sign of an upstream after which they are probed.
    static constexpr milliseconds probe_after{300};
    /// Time without any sign of an upstream, from the first try.
    static constexpr milliseconds lost_after{600};
    /// Upstreams that must have been tried; all, if fewer are known.
    static constexpr std::size_t min_tried = 3;

    /// \brief Records that something was sent to the replica, or that a
    /// connection to it was begun or has failed.
    void on_tried(replica_number number, time_point now);

    /// \brief Records bytes or a connection from any replica.
    void on_heard() noexcept
    {
        tried_.clear();
        lost_ = false;
    }

    /// \returns Whether the upstreams have been silent for so long that they
    /// should be probed.
    [[nodiscard]] bool silent(time_point now) const noexcept
    {
        return !tried_.empty() && now - first_tried_at_ >= probe_after;
    }

    /// \brief Updates `lost`; called periodically.
    /// \param known The number of replicas.
    void check(std::size_t known, time_point now) noexcept;

    /// \returns Whether no upstream can be reached.
    [[nodiscard]] bool lost() const noexcept { return lost_; }

private:
    /// Replicas that were tried since one was heard, up to `min_tried`.
    std::vector<replica_number> tried_;
    time_point first_tried_at_;
    bool lost_ = false;
};

} // namespace peridotward
