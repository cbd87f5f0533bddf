#include "configuration/config_peer_adapter.hpp"

namespace peridotward {

config_peer_adapter::config_peer_adapter(fleet_runner& fleet, config_sync& sync)
    : fleet_{&fleet}, sync_{&sync}
{
    sync.set_sender([this](const outgoing_message& message) {
        fleet_->send(message.to, message.message);
    });
    fleet.on<config_fetch>(
        [this](const peer_process& from, const config_fetch& request) {
            sync_->on_fetch(from.instance_id, request);
        });
    fleet.on<config_part>([this](const peer_process& from, config_part part) {
        sync_->on_part(from.instance_id, std::move(part));
    });
    fleet.on_summary([this](
                         const std::string& instance_id,
                         const config_summary& peer_summary) {
        sync_->on_summary(instance_id, peer_summary);
    });
    fleet.on_members([this] { update_live_instances(); });
    fleet.set_summary_source([this] { return sync_->summary(); });
}

void config_peer_adapter::update_live_instances()
{
    std::vector<std::string> live;
    for (const auto& [instance_id, member] : fleet_->members().members()) {
        if (member.latest_update.state == member_state::alive)
            live.push_back(instance_id);
    }
    sync_->set_live_instances(std::move(live));
}

} // namespace peridotward
