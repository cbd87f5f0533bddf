#include <peridotward/base/hash.hpp>

#include <xxhash.h>

namespace peridotward {

std::uint64_t hash_of(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t
rendezvous_weight(std::string_view key, std::string_view node) noexcept
{
    return hash_of(node, hash_of(key));
}

} // namespace peridotward
