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

/// Options and other words of one command line.
class options
{
public:
    [[nodiscard]] bool has(std::string_view name) const;
    [[nodiscard]] std::string
    text(std::string_view name, std::string_view fallback = {}) const;

    /// \returns The value as a number, `fallback` without the option, or
    /// nothing when it is not a number.
    [[nodiscard]] std::optional<double>
    number(std::string_view name, double fallback) const;

    [[nodiscard]] const std::vector<std::string>& words() const noexcept
    {
        return words_;
    }

private:
    friend std::optional<options> parse_options(
        int argc,
        char** argv,
        const std::vector<option_spec>& known,
        std::string_view usage);

    std::map<std::string, std::string, std::less<>> values_;
    std::vector<std::string> words_;
};

/// Reads a command line by getopt_long. Prints `usage` to standard output on
/// --help and to standard error on a wrong option, and returns nothing then.
[[nodiscard]] std::optional<options> parse_options(
    int argc,
    char** argv,
    const std::vector<option_spec>& known,
    std::string_view usage);

/// \returns Whether the last `parse_options` failed for --help.
[[nodiscard]] bool help_was_asked() noexcept;

} // namespace peridotward::ctl
