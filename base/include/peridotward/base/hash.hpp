#pragma once

#include <cstdint>
#include <string_view>

namespace peridotward {

/// \returns The 64-bit XXH3 hash of `text` with `seed`.
[[nodiscard]] std::uint64_t
hash_of(std::string_view text, std::uint64_t seed = 0) noexcept;

/// \returns The weight of `node` for `key` in rendezvous hashing; the node with
/// the highest weight is selected. Source: Thaler, Ravishankar, "A name-based
/// mapping scheme for rendezvous", 1996.
[[nodiscard]] std::uint64_t
rendezvous_weight(std::string_view key, std::string_view node) noexcept;

} // namespace peridotward
