#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace peridotward {

/// \brief Position in one table of a bundle; `Tag` distinguishes the tables.
template<class Tag>
struct table_index
{
    static constexpr std::uint32_t none =
        std::numeric_limits<std::uint32_t>::max();

    std::uint32_t value = none;

    constexpr auto operator<=>(const table_index&) const noexcept = default;

    /// \returns Whether the index refers to an element.
    [[nodiscard]] constexpr bool valid() const noexcept
    {
        return value != none;
    }

    /// \returns The index as a container position.
    [[nodiscard]] constexpr std::size_t position() const noexcept
    {
        return value;
    }
};

} // namespace peridotward
