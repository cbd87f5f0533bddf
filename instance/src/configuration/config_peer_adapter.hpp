#pragma once

#include "configuration/config_sync.hpp"
#include "fleet/fleet_runner.hpp"

namespace peridotward {

/// Connects `config_sync` to the peer link: summaries are sent within probes,
/// requests and parts as messages of their own.
class config_peer_adapter
{
public:
    config_peer_adapter(fleet_runner& fleet, config_sync& sync);

private:
    void update_live_instances();

    fleet_runner* fleet_;
    config_sync* sync_;
};

} // namespace peridotward
