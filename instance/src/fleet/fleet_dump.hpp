#pragma once

#include "fleet/fleet_runner.hpp"

#include <peridotward/base/json.hpp>

namespace peridotward {

/// \returns The members, leases and budgets of this instance, for operators.
[[nodiscard]] json dump_fleet(const fleet_runner& fleet);

} // namespace peridotward
