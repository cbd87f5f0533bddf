#pragma once

#include <peridotward/core/placement/replica_health.hpp>

#include <optional>
#include <string_view>

namespace peridotward {

/// \brief Parses the load that an upstream reports,
/// `running,waiting,slots[,speed]`.
///
/// \returns The load, or nothing if one of the first three values is no number.
/// A speed that is missing, zero, negative or malformed counts as not reported;
/// one outside of the limits in `reported_load` counts as the nearest limit.
[[nodiscard]] std::optional<reported_load>
parse_load_field(std::string_view text);

} // namespace peridotward
