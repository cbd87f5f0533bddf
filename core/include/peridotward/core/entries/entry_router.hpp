#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>

#include <deque>
#include <string_view>

namespace peridotward {

/// \brief Maps ids of non-idempotent requests to upstreams, so that the same
/// id always meets the same owner.
///
/// \remarks An id maps by rendezvous hashing to one admitted upstream of its
/// service. A bundle that changes the admitted upstreams moves some ids; the
/// router remembers earlier bundles for a while and tells which.
class entry_router
{
public:
    /// \param memory How long an earlier bundle is remembered. It must exceed
    /// the lifetime of an id.
    explicit entry_router(milliseconds memory) noexcept : memory_{memory} {}

    /// \brief Notes that `accepted` is in force from `now` on.
    void on_bundle(bundle_ptr accepted, wall_time now);

    /// \returns The upstream for `request_id` under the bundle in force, or
    /// an invalid index when none is admitted.
    [[nodiscard]] upstream_index
    route(std::string_view service, std::string_view request_id) const;

    /// \returns When the id last moved to the upstream it maps to now, or the
    /// lowest time when it has not moved as far as is remembered.
    [[nodiscard]] wall_time
    moved_at(std::string_view service, std::string_view request_id) const;

private:
    struct epoch
    {
        bundle_ptr in_force;
        wall_time since;
    };

    milliseconds memory_;
    std::deque<epoch> epochs_; ///< The newest one last.
};

/// \returns The admitted upstream of `service` that `request_id` maps to
/// under `in_force`, or an invalid index.
[[nodiscard]] upstream_index route_entry(
    const bundle& in_force,
    std::string_view service,
    std::string_view request_id);

} // namespace peridotward
