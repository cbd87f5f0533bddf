#pragma once

#include "instance_state.hpp"

#include <peridotward/base/json.hpp>

namespace peridotward {

/// \returns The `configuration` section of `/v1/state`: the version in force,
/// why the instance still waits for it, call counters and latest refusals.
[[nodiscard]] json dump_configuration(const instance_state& state);

} // namespace peridotward
