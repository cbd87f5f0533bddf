#include "verb.hpp"

#include <array>
#include <iostream>

namespace {

using peridotward::ctl::exit_code;
using peridotward::ctl::verb;

constexpr std::array verbs{
    verb{
        "bundle",
        "check, compare, build and sign bundles",
        peridotward::ctl::run_bundle},
    verb{"query", "run one search", peridotward::ctl::run_query},
    verb{
        "entries",
        "show which addresses callers use",
        peridotward::ctl::run_entries},
    verb{"dump", "show the state of instances", peridotward::ctl::run_dump},
    verb{
        "explain",
        "show what one recent query did",
        peridotward::ctl::run_explain},
    verb{
        "load",
        "send searches at a rate and measure latencies",
        peridotward::ctl::run_load},
    verb{
        "experiment",
        "simulate a load on the gateway's decision logic",
        peridotward::ctl::run_experiment},
};

void print_usage(std::ostream& out)
{
    out << "usage: peridotctl VERB ...\n\n";
    for (const auto& listed_verb : verbs)
        out << "  " << listed_verb.name
            << std::string(12 - listed_verb.name.size(), ' ')
            << listed_verb.summary << "\n";
    out << "\nperidotctl VERB --help describes one verb.\n"
           "exit codes: 0 done, 1 failed, 2 usage, 3 input, 4 transport\n";
}

} // namespace

int main(int argc, char** argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "help") {
        print_usage(std::cout);
        return static_cast<int>(exit_code::done);
    }
    for (const auto& listed_verb : verbs) {
        if (listed_verb.name == name)
            return static_cast<int>(listed_verb.run(argc - 1, argv + 1));
    }
    print_usage(std::cerr);
    return static_cast<int>(exit_code::usage);
}
