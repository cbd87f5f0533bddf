#include "configuration/config_peer_adapter.hpp"

namespace peridotward {

config_peer_adapter::config_peer_adapter(
    fleet_runner& fleet, config_sync& keeper)
    : fleet_{&fleet}, keeper_{&keeper}
{
    keeper.connect([this](const outgoing& message) {
        fleet_->send(message.to, message.message);
    });
    fleet.on<config_fetch>(
        [this](const peer_process& from, const config_fetch& wanted) {
            keeper_->on_fetch(from.seat, wanted);
        });
    fleet.on<config_part>([this](const peer_process& from, config_part part) {
        keeper_->on_part(from.seat, std::move(part));
    });
    fleet.on_summary(
        [this](const std::string& seat, const config_summary& theirs) {
            keeper_->on_summary(seat, theirs);
        });
    fleet.on_members([this] { tell_live(); });
    fleet.use_summary([this] { return keeper_->summary(); });
}

void config_peer_adapter::tell_live()
{
    std::vector<std::string> live;
    for (const auto& [seat, member] : fleet_->members().members()) {
        if (member.belief.state == member_state::alive)
            live.push_back(seat);
    }
    keeper_->set_live(std::move(live));
}

} // namespace peridotward
