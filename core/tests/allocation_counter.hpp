#pragma once

#include <cstdint>

namespace peridotward::query_test {

/// \returns The number of calls of `operator new` in this process so far.
[[nodiscard]] std::uint64_t allocations() noexcept;

} // namespace peridotward::query_test
