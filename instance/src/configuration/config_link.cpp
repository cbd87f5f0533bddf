#include "configuration/config_link.hpp"

namespace peridotward {

config_link::config_link(fleet_runner& fleet, config_keeper& keeper)
    : fleet_{&fleet}, keeper_{&keeper}
{
    keeper.connect([this](const outgoing_message& message) {
        fleet_->send(message.to, message.message);
    });
    fleet.on<config_fetch>(
        [this](const peer_source& from, const config_fetch& wanted) {
            keeper_->on_fetch(from.instance_id, wanted);
        });
    fleet.on<config_part>([this](const peer_source& from, config_part part) {
        keeper_->on_part(from.instance_id, std::move(part));
    });
    fleet.on_summary(
        [this](const std::string& instance_id, const config_summary& theirs) {
            keeper_->on_summary(instance_id, theirs);
        });
    fleet.on_members([this] { tell_live(); });
    fleet.use_summary([this] { return keeper_->summary(); });
}

void config_link::tell_live()
{
    std::vector<std::string> live;
    for (const auto& [instance_id, member] : fleet_->members().members()) {
        if (member.latest_update.state == member_state::alive)
            live.push_back(instance_id);
    }
    keeper_->set_live(std::move(live));
}

} // namespace peridotward
