#pragma once

#include <string>
#include <string_view>

namespace peridotward {

/// \returns The SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace peridotward
