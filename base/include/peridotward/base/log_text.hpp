#pragma once

#include <peridotward/base/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Appends the value of a `key=value` pair to a log line.
///
/// \remarks A value that is empty or contains whitespace, quotes or equals
/// signs is quoted; its line breaks become spaces.
void append_log_value(std::string& line, std::string_view value);

/// \brief Appends `time` as `YYYY-MM-DDTHH:MM:SS.mmmZ`.
void append_log_time(std::string& line, wall_time time);

/// \brief Parses a time in the format of `append_log_time`.
///
/// \returns The time, or nothing if `text` has another format.
[[nodiscard]] std::optional<wall_time> parse_log_time(std::string_view text);

} // namespace peridotward
