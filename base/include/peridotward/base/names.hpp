#pragma once

#include <algorithm>
#include <optional>
#include <string_view>
#include <utility>

namespace peridotward {

/// \brief Maps the values of an enumeration to names. A specialisation has a
/// static member `entries`, an array of pairs of value and name.
template<class Enum>
struct name_table;

/// \returns The name of `value`, or "unknown" if the table lacks it.
template<class Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value) noexcept
{
    for (const auto& [entry, name] : name_table<Enum>::entries) {
        if (entry == value)
            return name;
    }
    return "unknown";
}

/// \returns The value with the name `name`, or nothing if the table lacks it.
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
