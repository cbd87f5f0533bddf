#include "soak_run.hpp"

#include <getopt.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace {

using namespace peridotward::soak;

constexpr int exit_usage = 2;
constexpr int max_parallel = 8;

constexpr const char* usage =
    "usage: peridotward-soak --program FILE [--seeds A-B] [--seconds N]\n"
    "           [--instances N] [--callers N] [--parallel N] [--folder DIR]\n"
    "           [--series base|all|stress] [--shards N] [--pause MS]\n"
    "           [--memory MB] [--resident MB]\n"
    "\n"
    "Runs gateway processes on loopback addresses, injects faults chosen by "
    "seed and\n"
    "checks what callers and replicas observe. Logs are kept below DIR, one "
    "folder per seed.\n"
    "\n"
    "exit codes: 0 no violations, 1 violations found, 2 wrong usage\n";

[[noreturn]] void exit_with_usage()
{
    std::cerr << usage;
    std::exit(exit_usage);
}

void read_seeds(const std::string& text, soak_options& options)
{
    const auto dash = text.find('-');
    try {
        options.first_seed = std::stoull(text.substr(0, dash));
        options.last_seed = dash == std::string::npos
                                ? options.first_seed
                                : std::stoull(text.substr(dash + 1));
    }
    catch (const std::exception&) {
        exit_with_usage();
    }
}

soak_series read_series(std::string_view text)
{
    if (text == "base")
        return soak_series::base;
    if (text == "all")
        return soak_series::all;
    if (text == "stress")
        return soak_series::stress;
    exit_with_usage();
}

soak_options parse(int argc, char** argv)
{
    constexpr option options[] = {
        {"program", required_argument, nullptr, 'p'},
        {"seeds", required_argument, nullptr, 's'},
        {"seconds", required_argument, nullptr, 't'},
        {"instances", required_argument, nullptr, 'i'},
        {"callers", required_argument, nullptr, 'c'},
        {"parallel", required_argument, nullptr, 'j'},
        {"folder", required_argument, nullptr, 'f'},
        {"series", required_argument, nullptr, 'r'},
        {"pause", required_argument, nullptr, 'm'},
        {"shards", required_argument, nullptr, 'n'},
        {"memory", required_argument, nullptr, 'y'},
        {"resident", required_argument, nullptr, 'e'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0},
    };
    soak_options parsed;
    int letter = 0;
    while ((letter = getopt_long(
                argc, argv, "p:s:t:i:c:j:f:r:n:m:y:e:h", options, nullptr)) !=
           -1) {
        switch (letter) {
        case 'p':
            parsed.program = optarg;
            break;
        case 's':
            read_seeds(optarg, parsed);
            break;
        case 't':
            parsed.seconds = std::atoi(optarg);
            break;
        case 'i':
            parsed.instances = std::atoi(optarg);
            break;
        case 'c':
            parsed.callers = std::atoi(optarg);
            break;
        case 'j':
            parsed.parallel = std::atoi(optarg);
            break;
        case 'f':
            parsed.folder = optarg;
            break;
        case 'm':
            parsed.pause_ms = std::atoi(optarg);
            break;
        case 'e':
            parsed.resident_mb = std::atoi(optarg);
            break;
        case 'y':
            parsed.memory_mb = std::atoi(optarg);
            break;
        case 'n':
            parsed.shards = std::atoi(optarg);
            break;
        case 'r':
            parsed.series = read_series(optarg);
            break;
        case 'h':
            std::cout << usage;
            std::exit(EXIT_SUCCESS);
        default:
            exit_with_usage();
        }
    }
    const bool valid = !parsed.program.empty() && parsed.seconds > 0 &&
                       parsed.instances > 1 && parsed.callers > 0 &&
                       parsed.shards > 0 && parsed.pause_ms > 0 &&
                       parsed.memory_mb >= 0 && parsed.resident_mb > 0 &&
                       parsed.parallel > 0 && parsed.parallel <= max_parallel;
    if (!valid)
        exit_with_usage();
    return parsed;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parse(argc, argv);
    std::atomic<std::uint64_t> next_seed = options.first_seed;
    std::atomic<std::size_t> failed = 0;
    std::mutex output_mutex;
    std::vector<std::thread> workers;
    for (int i = 0; i < options.parallel; ++i) {
        workers.emplace_back([&] {
            for (auto seed = next_seed++; seed <= options.last_seed;
                 seed = next_seed++) {
                const auto result = run_seed(options, seed);
                const std::lock_guard lock{output_mutex};
                std::cout << "seed " << result.seed << ": " << result.attempts
                          << " requests, " << result.extra_attempts
                          << " repeats, " << result.peak_memory_mb << " MB, "
                          << result.violations.size() << " broken ("
                          << result.faults << ")" << std::endl;
                std::map<std::string, int> kinds;
                for (const auto& violation : result.violations)
                    ++kinds[violation.substr(
                        0, violation.find_first_of(":0123456789"))];
                for (const auto& [kind, count] : kinds)
                    std::cout << "  " << kind << ": " << count << "\n";
                for (std::size_t i = 0; i < result.violations.size() && i < 5;
                     ++i)
                    std::cout << "    " << result.violations[i] << std::endl;
                failed += result.violations.empty() ? 0 : 1;
            }
        });
    }
    for (auto& worker : workers)
        worker.join();
    const auto seeds = options.last_seed - options.first_seed + 1;
    std::cout << seeds - failed << " passed, " << failed << " failed"
              << std::endl;
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
