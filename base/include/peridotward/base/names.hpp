#pragma once

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace peridotward {

/// \brief Table of names of an enumeration; specialise it with a member
/// `entries`, an array of pairs of value and name.
template<class Enum>
struct name_table;

/// \returns The name of `value`, or "unknown" when the table lacks it.
template<class Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value) noexcept
{
    for (const auto& [entry, name] : name_table<Enum>::entries) {
        if (entry == value)
            return name;
    }
    return "unknown";
}

/// \returns The value called `name`, if there is one.
template<class Enum>
[[nodiscard]] constexpr std::optional<Enum>
from_name(std::string_view name) noexcept
{
    for (const auto& [value, entry] : name_table<Enum>::entries) {
        if (entry == name)
            return value;
    }
    return std::nullopt;
}

} // namespace peridotward
