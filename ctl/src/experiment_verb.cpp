#include "options.hpp"
#include "verb.hpp"

#include <peridotward/core/experiment/forward_experiment.hpp>

#include <cstdio>
#include <iostream>

namespace peridotward::ctl {

namespace {

constexpr std::string_view usage =
    "usage: peridotctl experiment [--pattern NAME] [--seed N] [--rate N]\n"
    "           [--without repeats|told-load|partial]\n"
    "\n"
    "Plays a load against the decisions of the gateway in virtual time and\n"
    "prints what callers and replicas saw, with all decisions and without "
    "one.\n"
    "\n"
    "  --pattern NAME  calm, pauses, slow, burst, shedding, lost-answers;\n"
    "                  all of them if left out\n"
    "  --seed N        of the play (1)\n"
    "  --rate N        searches a second (180)\n"
    "  --without WHAT  the decision that the second line does without "
    "(repeats)\n";

void print_line(
    load_pattern pattern, std::string_view policy, const experiment_result& of)
{
    std::printf(
        "%-13s %-18s worth %.3f  in time %u of %u (%u partial)  late %u  "
        "failed %u  refused %u  repeats %.1f%%  rejected %u  busiest %.2f\n",
        std::string{name_of(pattern)}.c_str(),
        std::string{policy}.c_str(),
        of.mean_value,
        of.in_time,
        of.requests,
        of.partial,
        of.late,
        of.failed,
        of.refused,
        of.arrivals == 0 ? 0.0 : 100.0 * of.extra_attempts / of.arrivals,
        of.rejected,
        of.busiest_ratio);
}

/// \returns Whether `what` names a decision; switches it off.
bool switch_off(forward_features& policy, std::string_view what)
{
    if (what == "repeats")
        policy.extra_attempts = false;
    else if (what == "told-load")
        policy.load_feedback = false;
    else if (what == "partial")
        policy.partial_answers = false;
    else
        return false;
    return true;
}

} // namespace

exit_code run_experiment(int argc, char** argv)
{
    const auto parsed = parse_options(
        argc,
        argv,
        {{"pattern", true}, {"seed", true}, {"rate", true}, {"without", true}},
        usage);
    if (!parsed)
        return help_was_asked() ? exit_code::done : exit_code::usage;
    const auto seed = parsed->number("seed", 1);
    const auto rate = parsed->number("rate", 180);
    const auto wanted = parsed->text("pattern", "");
    const auto pattern = from_name<load_pattern>(wanted);
    const auto without = parsed->text("without", "repeats");
    forward_features reduced;
    const bool valid = seed && *seed >= 0 && rate && *rate > 0 &&
                       (wanted.empty() || pattern) &&
                       switch_off(reduced, without);
    if (!valid) {
        std::cerr << usage;
        return exit_code::usage;
    }
    experiment_size size;
    size.requests_per_second = *rate;
    for (const auto& [entry, name] : name_table<load_pattern>::entries) {
        if (pattern && entry != *pattern)
            continue;
        const auto number = static_cast<std::uint64_t>(*seed);
        print_line(
            entry, "all", run_forward_experiment(entry, {}, number, size));
        print_line(
            entry,
            "without " + without,
            run_forward_experiment(entry, reduced, number, size));
    }
    return exit_code::done;
}

} // namespace peridotward::ctl
