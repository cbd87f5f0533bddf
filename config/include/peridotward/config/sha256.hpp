#pragma once

#include <string>
#include <string_view>

namespace peridotward {

/// \returns The SHA-256 of `bytes` in hexadecimal.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace peridotward
