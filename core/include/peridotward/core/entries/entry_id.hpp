#pragma once

#include <peridotward/base/time.hpp>

#include <optional>
#include <string_view>

namespace peridotward {

/// \brief Parses the issue time from the id of an entry.
///
/// \returns The time at which the caller created an id of the form `MS-REST`,
/// where `MS` is in milliseconds since the Unix epoch and `REST` is not empty;
/// nothing if the id has another form.
[[nodiscard]] std::optional<wall_time>
issue_time(std::string_view request_id) noexcept;

} // namespace peridotward
