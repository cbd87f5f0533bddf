#pragma once

#include "fleet/fleet_runner.hpp"
#include "upstreams/upstream_client.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace peridotward {

/// Knows what upstreams last reported of themselves: asks those that this
/// instance holds, tells the others of changes, and hears from them.
class upstream_monitor
{
public:
    upstream_monitor(fleet_runner& fleet, upstream_client& gateway);

    /// \returns How many upstreams of the bundle have reported.
    [[nodiscard]] std::size_t known() const noexcept { return seen_.size(); }

private:
    struct sighting
    {
        upstream_report report;
        bool told = false; ///< Whether this state was sent to all others.
    };

    void on_tick(time_point now);
    void on_bundle(time_point now);
    void on_news(const upstream_news& news);
    void poll(time_point now);
    void on_status(resource_id id, const upstream_report& report);
    void note(resource_id id, const upstream_report& report, bool own);
    void observe(resource_id id, const upstream_report& report);
    void tell_changes();
    void greet_new_members();
    void refresh_one();
    [[nodiscard]] upstream_news own_news(bool changes_only) const;
    void update_readiness(time_point now);

    fleet_runner* fleet_;
    upstream_client* gateway_;
    instance_state* state_;
    std::unordered_map<std::uint64_t, sighting> seen_; ///< By resource.
    std::map<std::string, incarnation_number> greeted_;
    std::string refreshed_; ///< The member that got the last refresh.
    std::uint64_t members_revision_ = 0;
    time_point started_;
    time_point next_poll_;
    time_point next_refresh_;
    bool complete_ = false;
};

} // namespace peridotward
