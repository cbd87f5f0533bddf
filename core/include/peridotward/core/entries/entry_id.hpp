#pragma once

#include <peridotward/base/time.hpp>

#include <optional>
#include <string_view>

namespace peridotward {

/// \brief Reads the time from the id of a non-idempotent request.
///
/// \returns The time at which the caller made the id `MS-REST`, where `MS`
/// counts milliseconds since the Unix epoch and `REST` is not empty, or
/// nothing when the id has another form.
[[nodiscard]] std::optional<wall_time>
issue_time(std::string_view request_id) noexcept;

} // namespace peridotward
