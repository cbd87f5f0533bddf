#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>

#include <deque>
#include <string_view>

namespace peridotward {

/// \brief Maps the ids of entries to upstreams, so that the same id is always
/// handled by the same owner.
///
/// \remarks Rendezvous hashing maps an id to one admitted upstream of its
/// service. A bundle that changes the set of admitted upstreams moves some ids
/// to other upstreams; the router keeps earlier bundles for a limited time to
/// find out which ids moved and when.
class entry_router
{
public:
    /// \param retention How long an earlier bundle is kept. Must exceed the
    /// lifetime of an id.
    explicit entry_router(milliseconds retention) noexcept
        : retention_{retention}
    {}

    /// \brief Puts `accepted` in force from `now` on.
    void on_bundle(bundle_ptr accepted, wall_time now);

    /// \returns The upstream of `service` for `request_id` in the bundle in
    /// force, or an invalid index when none is admitted.
    [[nodiscard]] upstream_index
    route(std::string_view service, std::string_view request_id) const;

    /// \returns When `request_id` moved to its current upstream, or the minimum
    /// time when it did not move in any of the kept bundles.
    [[nodiscard]] wall_time
    moved_at(std::string_view service, std::string_view request_id) const;

private:
    struct epoch
    {
        bundle_ptr in_force;
        wall_time since;
    };

    milliseconds retention_;
    std::deque<epoch> epochs_; ///< Oldest first.
};

/// \returns The admitted upstream of `service` that `request_id` maps to in
/// the bundle `in_force`, or an invalid index when there is none.
[[nodiscard]] upstream_index route_entry(
    const bundle& in_force,
    std::string_view service,
    std::string_view request_id);

} // namespace peridotward
