#include <peridotward/base/log_text.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace peridotward {

namespace {

bool needs_quotes(std::string_view value)
{
    return value.empty() ||
           value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

} // namespace

void append_log_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += c == '\n' || c == '\r' ? ' ' : c;
    }
    line += '"';
}

void append_log_time(std::string& line, wall_time time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date{day};
    const std::chrono::hh_mm_ss clock{time - day};
    std::array<char, 40> text{};
    const int length = std::snprintf(
        text.data(),
        text.size(),
        "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
        static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()),
        static_cast<unsigned>(date.day()),
        static_cast<int>(clock.hours().count()),
        static_cast<int>(clock.minutes().count()),
        static_cast<int>(clock.seconds().count()),
        static_cast<int>(clock.subseconds().count()));
    line.append(text.data(), static_cast<std::size_t>(length));
}

std::optional<wall_time> parse_log_time(std::string_view text)
{
    constexpr std::string_view pattern = "0000-00-00T00:00:00.000Z";
    if (text.size() != pattern.size())
        return std::nullopt;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        const bool digit = text[i] >= '0' && text[i] <= '9';
        if (pattern[i] == '0' ? !digit : text[i] != pattern[i])
            return std::nullopt;
    }
    const auto field = [&](std::size_t at, std::size_t length) {
        int value = 0;
        std::from_chars(text.data() + at, text.data() + at + length, value);
        return value;
    };
    const std::chrono::year_month_day date{
        std::chrono::year{field(0, 4)},
        std::chrono::month{static_cast<unsigned>(field(5, 2))},
        std::chrono::day{static_cast<unsigned>(field(8, 2))}};
    if (!date.ok())
        return std::nullopt;
    return wall_time{std::chrono::sys_days{date}} +
           std::chrono::hours{field(11, 2)} +
           std::chrono::minutes{field(14, 2)} + seconds{field(17, 2)} +
           milliseconds{field(20, 3)};
}

} // namespace peridotward
