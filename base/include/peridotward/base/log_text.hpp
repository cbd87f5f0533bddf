#pragma once

#include <peridotward/base/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Appends a value of a `key=value` log line; one that is empty or has
/// blanks, quotes or equals signs is quoted, and line ends become blanks.
void append_log_value(std::string& line, std::string_view value);

/// \brief Appends `YYYY-MM-DDTHH:MM:SS.mmmZ`.
void append_log_time(std::string& line, wall_time time);

/// \returns The time that `append_log_time` wrote, or nothing for other text.
[[nodiscard]] std::optional<wall_time> parse_log_time(std::string_view text);

} // namespace peridotward
