#pragma once

#include "fleet/fleet_runner.hpp"

#include <peridotward/base/json.hpp>

namespace peridotward {

/// \returns The `fleet` section of `/v1/state`: members, leases, budgets and
/// peer link counters, as known to this instance.
[[nodiscard]] json dump_fleet(const fleet_runner& fleet);

} // namespace peridotward
