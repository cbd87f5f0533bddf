#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/config/settings.hpp>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace peridotward {

enum class log_level : std::uint8_t
{
    debug,
    info,
    warn,
    error,
};

template<>
struct name_table<log_level>
{
    static constexpr std::array entries{
        std::pair{log_level::debug, std::string_view{"debug"}},
        std::pair{log_level::info, std::string_view{"info"}},
        std::pair{log_level::warn, std::string_view{"warn"}},
        std::pair{log_level::error, std::string_view{"error"}},
    };
};

/// A key and its value in a log line.
struct log_field
{
    log_field(std::string_view field, std::string_view text)
        : key{field}, value{text}
    {}
    template<std::integral Number>
    log_field(std::string_view field, Number number)
        : key{field}, value{std::to_string(number)}
    {}

    std::string_view key;
    std::string value;
};

/// Initializes the log of the process.
///
/// \returns `config_invalid` for an unknown level.
[[nodiscard]] result<void>
start_log(const log_settings& configured, std::string_view instance);

/// Sets the minimum level of the messages that are logged.
void change_log_level(log_level level);

/// Writes `event=NAME key=value ...`; values with spaces are quoted.
void log_event(
    log_level level,
    std::string_view event,
    std::initializer_list<log_field> fields = {});

} // namespace peridotward
