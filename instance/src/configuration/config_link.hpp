#pragma once

#include "configuration/config_keeper.hpp"
#include "fleet/fleet_runner.hpp"

namespace peridotward {

/// Joins the configuration of an instance with the peers' link: summaries ride
/// on probes, parts travel as messages of their own.
class config_link
{
public:
    config_link(fleet_runner& fleet, config_keeper& keeper);

private:
    void tell_live();

    fleet_runner* fleet_;
    config_keeper* keeper_;
};

} // namespace peridotward
