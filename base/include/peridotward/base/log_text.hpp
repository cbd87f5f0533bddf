#pragma once

#include <string>
#include <string_view>

namespace peridotward {

/// \brief Appends a value of a `key=value` log line; one that is empty or has
/// blanks, quotes or equals signs is quoted, and line ends become blanks.
void append_log_value(std::string& line, std::string_view value);

} // namespace peridotward
