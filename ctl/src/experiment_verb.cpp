#include "options.hpp"
#include "verb.hpp"

#include <peridotward/core/experiment/forward_experiment.hpp>

#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>

namespace peridotward::ctl {

namespace {

constexpr std::string_view usage =
    "usage: peridotctl experiment [--pattern NAME] [--seed N] [--rate N]\n"
    "           [--surge FACTOR] [--plot FILE]\n"
    "           [--without "
    "repeats|told-load|partial|shedding|reported-speeds]\n"
    "\n"
    "Simulates a load on the gateway's decision logic in virtual time and\n"
    "prints the results of callers and replicas, with and without a feature.\n"
    "\n"
    "  --pattern NAME  calm, pauses, slow, burst, shedding, lost-answers, "
    "surge,\n"
    "                  slow-surge, changing-speeds; all of them if left out\n"
    "                  (changing-speeds compares the selection with and "
    "without\n"
    "                  reported speeds and by the true state, at 8 to 740\n"
    "                  instances; --rate and --without don't apply)\n"
    "  --seed N        seed of the simulation (1)\n"
    "  --rate N        searches per second (180)\n"
    "  --surge FACTOR  searches in a surge, relative to before; without it,\n"
    "                  surges of 1 to 12 times are played one after the other\n"
    "  --plot FILE     writes the latency quantiles of changing-speeds to "
    "FILE,\n"
    "                  one line each: instances, policy, quantile, ms\n"
    "  --without WHAT  the feature that is off in the second line of each\n"
    "                  pattern (repeats)\n";

constexpr std::array surge_factors{1.0, 2.0, 3.0, 4.0, 6.0, 8.0, 12.0};

void print_line(
    load_pattern pattern,
    std::string_view feature_set,
    const experiment_result& outcome)
{
    std::printf(
        "%-13s %-18s worth %.3f  in time %u of %u (%u partial)  late %u  "
        "failed %u  refused %u  repeats %.1f%%  rejected %u  busiest %.2f\n",
        std::string{name_of(pattern)}.c_str(),
        std::string{feature_set}.c_str(),
        outcome.mean_value,
        outcome.in_time,
        outcome.requests,
        outcome.partial,
        outcome.late,
        outcome.failed,
        outcome.refused,
        outcome.arrivals == 0
            ? 0.0
            : 100.0 * outcome.extra_attempts / outcome.arrivals,
        outcome.rejected,
        outcome.busiest_ratio);
}

/// Disables a feature by its name in --without.
/// \returns Whether `feature` names a feature.
bool disable_feature(forward_features& feature_set, std::string_view feature)
{
    if (feature == "repeats")
        feature_set.extra_attempts = false;
    else if (feature == "told-load")
        feature_set.load_feedback = false;
    else if (feature == "partial")
        feature_set.partial_answers = false;
    else if (feature == "shedding")
        feature_set.load_shedding = false;
    else if (feature == "reported-speeds")
        feature_set.reported_speeds = false;
    else
        return false;
    return true;
}

double to_ms(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Simulates `load_pattern::changing_speeds` under each policy and prints a
/// table.
/// \param plot Gets the latency quantiles, unless null.
void compare_selections(std::uint64_t seed, std::ostream* plot)
{
    constexpr std::array fleet_sizes{8U, 32U, 68U, 740U};
    constexpr int plot_steps = 1000;
    forward_features measured;
    measured.reported_speeds = false;
    forward_features informed;
    informed.true_state = true;
    informed.reported_speeds = false;
    const std::array policies{
        std::pair{std::string_view{"measured-only"}, measured},
        std::pair{std::string_view{"reported-speeds"}, forward_features{}},
        std::pair{std::string_view{"true-state"}, informed}};
    std::printf(
        "instances  policy             p50 ms  p90 ms  p99 ms  extra %%  "
        "omitted %%\n");
    for (const auto instances : fleet_sizes) {
        for (const auto& [name, features] : policies) {
            const auto result = run_forward_experiment(
                load_pattern::changing_speeds,
                features,
                seed,
                uneven_deployment(instances));
            std::printf(
                "%9u  %-16s  %7.1f %7.1f %7.1f  %7.2f  %9.4f\n",
                instances,
                std::string{name}.c_str(),
                to_ms(result.latency(0.5)),
                to_ms(result.latency(0.9)),
                to_ms(result.latency(0.99)),
                100 * result.extra_share(),
                100 * result.omitted_share());
            for (int step = 0; plot != nullptr && step < plot_steps; ++step) {
                const double share = static_cast<double>(step) / plot_steps;
                *plot << instances << ' ' << name << ' ' << share << ' '
                      << to_ms(result.latency(share)) << '\n';
            }
        }
    }
}

bool is_surge(load_pattern pattern)
{
    return pattern == load_pattern::surge ||
           pattern == load_pattern::slow_surge;
}

void print_surge_line(
    load_pattern pattern,
    double factor,
    std::string_view feature_set,
    const experiment_result& outcome)
{
    const auto& surge = outcome.fault;
    const auto& after = outcome.recovery;
    std::printf(
        "%-13s x%-4.3g %-18s asked %5u/s  in time %4.0f/s  late %u  failed %u  "
        "refused %u  admitted %.2f to %.2f of the mean  after it %u of %u in "
        "time\n",
        std::string{name_of(pattern)}.c_str(),
        factor,
        std::string{feature_set}.c_str(),
        static_cast<unsigned>(
            surge.requests /
            std::chrono::duration<double>(surge.length).count()),
        surge.goodput(),
        surge.late,
        surge.failed,
        surge.refused,
        outcome.min_admitted,
        outcome.max_admitted,
        after.in_time,
        after.requests);
}

} // namespace

exit_code run_experiment(int argc, char** argv)
{
    const auto parsed = parse_options(
        argc,
        argv,
        {{"pattern", true},
         {"seed", true},
         {"rate", true},
         {"surge", true},
         {"without", true},
         {"plot", true}},
        usage);
    if (!parsed)
        return help_requested() ? exit_code::done : exit_code::usage;
    const auto seed = parsed->number("seed", 1);
    const auto rate = parsed->number("rate", 180);
    const auto pattern_name = parsed->text("pattern", "");
    const auto pattern = from_name<load_pattern>(pattern_name);
    const auto without = parsed->text("without", "repeats");
    const auto surge = parsed->number("surge", 0);
    forward_features reduced;
    const bool valid = seed && *seed >= 0 && rate && *rate > 0 && surge &&
                       *surge >= 0 && (pattern_name.empty() || pattern) &&
                       disable_feature(reduced, without);
    if (!valid) {
        std::cerr << usage;
        return exit_code::usage;
    }
    const auto plot_file = parsed->text("plot", "");
    std::ofstream plot;
    if (!plot_file.empty()) {
        plot.open(plot_file);
        if (!plot) {
            std::cerr << "plot file " << plot_file << " can't be written\n";
            return exit_code::usage;
        }
    }
    experiment_size size;
    size.requests_per_second = *rate;
    for (const auto& [entry, name] : name_table<load_pattern>::entries) {
        if (pattern && entry != *pattern)
            continue;
        const auto number = static_cast<std::uint64_t>(*seed);
        if (entry == load_pattern::changing_speeds) {
            compare_selections(number, plot.is_open() ? &plot : nullptr);
            continue;
        }
        if (is_surge(entry)) {
            for (const double factor : surge_factors) {
                if (*surge > 0 && factor != surge_factors.front())
                    continue;
                size.surge_factor = *surge > 0 ? *surge : factor;
                for (const auto& features : {forward_features{}, reduced})
                    print_surge_line(
                        entry,
                        size.surge_factor,
                        features == reduced ? "without " + without : "all",
                        run_forward_experiment(entry, features, number, size));
            }
            continue;
        }
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
