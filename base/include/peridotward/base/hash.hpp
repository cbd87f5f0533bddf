#pragma once

#include <cstdint>
#include <string_view>

namespace peridotward {

/// \returns The 64-bit XXH3 hash of `text` under `seed`.
[[nodiscard]] std::uint64_t
hash_of(std::string_view text, std::uint64_t seed = 0) noexcept;

/// \returns A weight for rendezvous hashing of `node` for `key`; the highest
/// weight wins. Source: Thaler, Ravishankar, "A name-based mapping scheme for
/// rendezvous", 1996.
[[nodiscard]] std::uint64_t
rendezvous_weight(std::string_view key, std::string_view node) noexcept;

} // namespace peridotward
