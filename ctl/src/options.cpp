#include "options.hpp"

#include <getopt.h>

#include <cstdlib>
#include <iostream>

namespace peridotward::ctl {

namespace {

bool help_printed = false;

std::vector<option> to_getopt_options(const std::vector<option_spec>& specs)
{
    std::vector<option> converted;
    converted.reserve(specs.size() + 2);
    for (const auto& spec : specs)
        converted.push_back(
            {spec.name,
             spec.takes_value ? required_argument : no_argument,
             nullptr,
             0});
    converted.push_back({"help", no_argument, nullptr, 'h'});
    converted.push_back({nullptr, 0, nullptr, 0});
    return converted;
}

} // namespace

bool options::has(std::string_view name) const
{
    return values_.contains(name);
}

std::string
options::text(std::string_view name, std::string_view fallback) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? std::string{fallback} : found->second;
}

std::optional<double>
options::number(std::string_view name, double fallback) const
{
    const auto found = values_.find(name);
    if (found == values_.end())
        return fallback;
    char* end = nullptr;
    const double value = std::strtod(found->second.c_str(), &end);
    if (end == found->second.c_str() || *end != '\0')
        return std::nullopt;
    return value;
}

std::optional<options> parse_options(
    int argc,
    char** argv,
    const std::vector<option_spec>& specs,
    std::string_view usage)
{
    const auto table = to_getopt_options(specs);
    options parsed;
    optind = 0;
    help_printed = false;
    int position = 0;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "h", table.data(), &position)) !=
           -1) {
        if (letter == 'h') {
            help_printed = true;
            std::cout << usage;
            return std::nullopt;
        }
        if (letter != 0) {
            std::cerr << usage;
            return std::nullopt;
        }
        const std::string name = table[static_cast<std::size_t>(position)].name;
        parsed.values_[name] = optarg == nullptr ? "" : optarg;
    }
    for (int i = optind; i < argc; ++i)
        parsed.arguments_.emplace_back(argv[i]);
    return parsed;
}

bool help_requested() noexcept
{
    return help_printed;
}

} // namespace peridotward::ctl
