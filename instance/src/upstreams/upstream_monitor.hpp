#pragma once

#include "fleet/fleet_runner.hpp"
#include "upstreams/upstream_client.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace peridotward {

/// Collects the latest reports of all upstreams: polls the upstreams that this
/// instance owns, sends changes to the other members and receives theirs.
class upstream_monitor
{
public:
    upstream_monitor(fleet_runner& fleet, upstream_client& client);

    /// \returns The number of upstreams of the bundle that have reported.
    [[nodiscard]] std::size_t reported_count() const noexcept
    {
        return reports_.size();
    }

private:
    struct known_report
    {
        upstream_report report;
        bool broadcast = false; ///< Whether all members were sent this report.
    };

    void on_tick(time_point now);
    void on_bundle(time_point now);
    void on_report_batch(const upstream_report_batch& batch);
    void poll(time_point now);
    void on_status(resource_id id, const upstream_report& report);
    void
    store_report(resource_id id, const upstream_report& report, bool owned);
    void apply_report(resource_id id, const upstream_report& report);
    void send_changes();
    void send_to_new_members();
    void refresh_one();
    [[nodiscard]] upstream_report_batch
    collect_owned_reports(bool changes_only) const;
    void update_readiness(time_point now);

    fleet_runner* fleet_;
    upstream_client* client_;
    instance_state* state_;
    std::unordered_map<std::uint64_t, known_report>
        reports_; ///< By resource id.
    std::map<std::string, incarnation_number> notified_incarnations_;
    std::string last_refreshed_; ///< The member that received the last refresh.
    std::uint64_t members_revision_ = 0;
    time_point started_at_;
    time_point next_poll_;
    time_point next_refresh_;
    bool all_reported_ = false;
};

} // namespace peridotward
