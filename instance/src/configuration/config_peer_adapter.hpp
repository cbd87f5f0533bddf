#pragma once

#include "configuration/config_sync.hpp"
#include "fleet/fleet_runner.hpp"

namespace peridotward {

/// Joins the configuration of an instance with the peers' link: summaries ride
/// on probes, parts travel as messages of their own.
class config_peer_adapter
{
public:
    config_peer_adapter(fleet_runner& fleet, config_sync& keeper);

private:
    void tell_live();

    fleet_runner* fleet_;
    config_sync* keeper_;
};

} // namespace peridotward
