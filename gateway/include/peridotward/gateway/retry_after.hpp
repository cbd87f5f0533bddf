#pragma once

#include <peridotward/base/time.hpp>

#include <optional>
#include <string_view>

namespace peridotward {

/// Longest time that `parse_retry_after` returns.
inline constexpr milliseconds max_retry_after = std::chrono::hours{1};

/// \brief Parses the value of a Retry-After field.
///
/// \returns The time, rounded up to milliseconds and at most `max_retry_after`;
/// nothing for a value that is no number of seconds, which then counts as if
/// the field were missing. Fractions are read. A date isn't, since the clocks
/// of two machines may differ by more than the time it stands for.
[[nodiscard]] std::optional<milliseconds>
parse_retry_after(std::string_view text);

} // namespace peridotward
