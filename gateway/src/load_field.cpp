#include <peridotward/gateway/load_field.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace peridotward {

namespace {

/// Parses the number at the start of `text`; what follows it is ignored.
std::optional<std::uint32_t> parse_leading_number(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{})
        return std::nullopt;
    return value;
}

/// \returns The speed in percent within its limits, or zero if there is none.
std::uint32_t parse_speed(std::string_view text)
{
    std::uint32_t value = 0;
    const auto* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    if (end != last)
        return 0;
    if (error == std::errc::result_out_of_range)
        return reported_load::max_speed;
    if (error != std::errc{} || value == 0)
        return 0;
    return std::clamp(
        value, reported_load::min_speed, reported_load::max_speed);
}

} // namespace

std::optional<reported_load> parse_load_field(std::string_view text)
{
    std::array<std::string_view, 4> values;
    std::size_t count = 0;
    while (count < values.size()) {
        const auto end = text.find(',');
        values.at(count++) = text.substr(0, end);
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    const auto running = parse_leading_number(values[0]);
    const auto waiting = parse_leading_number(values[1]);
    const auto slots = parse_leading_number(values[2]);
    if (!running || !waiting || !slots)
        return std::nullopt;
    return reported_load{*running, *waiting, *slots, parse_speed(values[3])};
}

} // namespace peridotward
