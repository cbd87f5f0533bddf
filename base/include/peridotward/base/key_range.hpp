#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace peridotward {

/// \brief Position of a record in a key space.
using record_key = std::uint64_t;

/// \brief Half-open range of keys `[first, last)`.
struct key_range
{
    record_key first = 0;
    record_key last = 0;

    constexpr auto operator<=>(const key_range&) const noexcept = default;

    /// \returns The number of keys.
    [[nodiscard]] constexpr std::uint64_t size() const noexcept
    {
        return last > first ? last - first : 0;
    }
    [[nodiscard]] constexpr bool empty() const noexcept { return size() == 0; }
    [[nodiscard]] constexpr bool contains(record_key key) const noexcept
    {
        return key >= first && key < last;
    }
    /// \returns Whether `other` lies within this range.
    [[nodiscard]] constexpr bool contains(key_range other) const noexcept
    {
        return other.first >= first && other.last <= last;
    }
};

/// \returns The intersection of two ranges; empty if they are disjoint.
[[nodiscard]] constexpr key_range intersect(key_range a, key_range b) noexcept
{
    return {std::max(a.first, b.first), std::min(a.last, b.last)};
}

} // namespace peridotward
