#pragma once

#include <cstdint>

namespace peridotward {

/// \brief Deterministic pseudorandom number generator (SplitMix64).
///
/// \remarks Not cryptographically secure. The sequence depends only on the
/// seed. Source:
/// Steele, Lea, Flood, "Fast splittable pseudorandom number generators".
class random_source
{
public:
    constexpr explicit random_source(std::uint64_t seed) noexcept : state_{seed}
    {}

    /// \returns The next 64 random bits.
    constexpr std::uint64_t next() noexcept
    {
        state_ += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /// \returns A number in `[0, bound)`, or 0 when `bound` is 0.
    constexpr std::uint64_t below(std::uint64_t bound) noexcept
    {
        return bound == 0 ? 0 : next() % bound;
    }

    /// \returns A number in `[0, 1)`.
    constexpr double unit() noexcept
    {
        constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
        return static_cast<double>(next() >> 11U) * scale;
    }

private:
    std::uint64_t state_;
};

} // namespace peridotward
