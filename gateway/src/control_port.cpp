#include "control_port.hpp"

namespace peridotward {

std::string control_port::metrics() const
{
    auto text = numbers_->render();
    const auto gauge = [&](std::string_view name, std::uint64_t value) {
        text += "peridotward_";
        text += name;
        text += " " + std::to_string(value) + "\n";
    };
    const auto& config = forwarding_->config();
    gauge("config_version", config ? config->version : 0);
    gauge("open_requests", forwarding_->open_requests());
    gauge("members", peers_->running().size() + 1);
    gauge("bad_peer_frames_total", peers_->bad_frames());
    gauge("waiting_for_connection", forwarding_->pool().waiting());
    gauge("upstream_connections", forwarding_->pool().connections());
    gauge("upstream_connections_opened_total", forwarding_->pool().opened());
    gauge("log_lines_dropped_total", log_->dropped());
    std::uint64_t cold = 0;
    const auto live = forwarding_->catalog().live();
    for (const auto number : live)
        cold += forwarding_->catalog().at(number).cold(loop_->now()) ? 1 : 0;
    gauge("replicas", live.size());
    gauge("replicas_cold", cold);
    return text;
}

json control_port::state() const
{
    const auto now = loop_->now();
    json dump;
    const auto& config = forwarding_->config();
    dump["config_version"] = config ? config->version : 0;
    auto& replicas = dump["replicas"] = json::array();
    auto& catalog = forwarding_->catalog();
    for (const auto number : catalog.live()) {
        const auto& known = catalog.at(number);
        const auto standing = catalog.standing(known);
        replicas.push_back(
            {{"id", known.published.id},
             {"service", known.published.service},
             {"address", known.published.address.text()},
             {"domain", known.published.domain},
             {"standing",
              standing == replica_standing::serving  ? "serving"
              : standing == replica_standing::fading ? "fading"
                                                     : "barred"},
             {"cold", known.cold(now)},
             {"slowness", known.health.slowness(now)},
             {"failure_share", known.health.failure_share(now)},
             {"shed_share", known.health.shed_share(now)},
             {"in_flight", known.health.in_flight()},
             {"unreachable", known.health.unreachable(now)}});
    }
    dump["barred_domains"] = catalog.barred_domains();
    auto& members = dump["members"] = json::array();
    for (const auto& [id, known] : peers_->members().members())
        members.push_back(
            {{"id", id},
             {"state", name_of(known.latest_update.state)},
             {"ready", known.latest_update.ready},
             {"capacity", known.latest_update.capacity},
             {"load", name_of(known.latest_update.load)}});
    return dump;
}

} // namespace peridotward
