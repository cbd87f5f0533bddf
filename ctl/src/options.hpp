#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward::ctl {

/// One long option of a verb.
struct option_spec
{
    const char* name;
    bool takes_value;
};

/// Options and positional arguments of one command line.
class options
{
public:
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] std::string
    text(std::string_view name, std::string_view fallback = {}) const;

    /// \returns The option's value as a number, `fallback` without the option,
    /// or nothing when the value is not a number.
    [[nodiscard]] std::optional<double>
    number(std::string_view name, double fallback) const;

    [[nodiscard]] const std::vector<std::string>& arguments() const noexcept
    {
        return arguments_;
    }

private:
    friend std::optional<options> parse_options(
        int argc,
        char** argv,
        const std::vector<option_spec>& specs,
        std::string_view usage);

    std::map<std::string, std::string, std::less<>> values_;
    std::vector<std::string> arguments_;
};

/// Parses a command line with getopt_long. On --help, prints `usage` to
/// standard output and returns nothing; on an invalid option, prints `usage` to
/// standard error and returns nothing.
[[nodiscard]] std::optional<options> parse_options(
    int argc,
    char** argv,
    const std::vector<option_spec>& specs,
    std::string_view usage);

/// \returns Whether the last `parse_options` returned nothing due to --help.
[[nodiscard]] bool help_requested() noexcept;

} // namespace peridotward::ctl
