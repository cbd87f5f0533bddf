#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Length of one record of a part, in bytes.
inline constexpr std::size_t gathered_record_bytes = 16;

/// \returns The greatest `most` records of all `bodies`, greatest first,
/// compared byte by byte. Equal records all count; a remainder shorter than a
/// record is dropped.
[[nodiscard]] std::string
merge_records(std::span<const std::string> bodies, std::size_t most);

} // namespace peridotward
