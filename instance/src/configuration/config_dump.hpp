#pragma once

#include "instance_state.hpp"

#include <peridotward/base/json.hpp>

namespace peridotward {

/// \returns The section of the dump that tells of the configuration: what is
/// in force, what it waits for, its calls and its latest refusals.
[[nodiscard]] json config_dump(const instance_state& state);

} // namespace peridotward
