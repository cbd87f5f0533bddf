#include "bundle_commands.hpp"
#include "options.hpp"

#include <array>
#include <iostream>
#include <limits>

namespace peridotward::ctl {

namespace {

constexpr std::string_view usage =
    "usage: peridotctl bundle check FILE\n"
    "       peridotctl bundle digest FILE\n"
    "       peridotctl bundle diff BEFORE AFTER\n"
    "       peridotctl bundle build FILE NAME FOLDER\n"
    "       peridotctl bundle keygen SECRET_FILE PUBLIC_FILE\n"
    "       peridotctl bundle sign MANIFEST SECRET_FILE\n"
    "       peridotctl bundle verify MANIFEST REQUIRED PUBLIC_FILE...\n"
    "\n"
    "check   validates a bundle and prints the first error\n"
    "digest  prints the SHA-256 of its canonical form\n"
    "diff    describes the changes, with warnings; exit code 1 on a warning\n"
    "build   writes the manifest NAME and the parts NAME.DIGEST to publish\n"
    "keygen  generates an approver's key pair\n"
    "sign    adds a signature to a manifest\n"
    "verify  checks that REQUIRED of the approvers signed a manifest\n"
    "\n"
    "FILE is a bundle in JSON with comments, or a manifest whose parts are in\n"
    "the same folder.\n";

constexpr std::size_t no_limit = std::numeric_limits<std::size_t>::max();

struct command
{
    std::string_view name;
    std::size_t min_arguments;
    std::size_t max_arguments;
    exit_code (*run)(const command_arguments& arguments);
};

constexpr std::array commands{
    command{"check", 1, 1, check_bundle},
    command{"digest", 1, 1, print_digest},
    command{"diff", 2, 2, print_diff},
    command{"build", 3, 3, build_files},
    command{"keygen", 2, 2, make_keys},
    command{"sign", 2, 2, sign_file},
    command{"verify", 3, no_limit, verify_file},
};

} // namespace

exit_code print_failure(const error& problem)
{
    std::cerr << "peridotctl: " << problem.message << "\n";
    return exit_code::input;
}

exit_code run_bundle(int argc, char** argv)
{
    const auto parsed = parse_options(argc, argv, {}, usage);
    if (!parsed)
        return help_requested() ? exit_code::done : exit_code::usage;
    auto arguments = parsed->arguments();
    if (!arguments.empty()) {
        const auto name = arguments.front();
        arguments.erase(arguments.begin());
        for (const auto& listed_command : commands) {
            if (listed_command.name == name &&
                arguments.size() >= listed_command.min_arguments &&
                arguments.size() <= listed_command.max_arguments)
                return listed_command.run(arguments);
        }
    }
    std::cerr << usage;
    return exit_code::usage;
}

} // namespace peridotward::ctl
