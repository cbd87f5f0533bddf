#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Length of one record in the answer of a part, in bytes.
inline constexpr std::size_t gathered_record_bytes = 16;

/// \returns The `max_records` greatest records of all `bodies`, concatenated in
/// descending order. Records compare as unsigned bytes, duplicates are kept,
/// and trailing bytes of a body that are shorter than a record are dropped.
[[nodiscard]] std::string
merge_records(std::span<const std::string> bodies, std::size_t max_records);

} // namespace peridotward
