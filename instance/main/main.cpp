#include "../src/log.hpp"

#include <peridotward/config/settings.hpp>
#include <peridotward/instance/instance_runtime.hpp>

#include <getopt.h>
#include <pthread.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace {

constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_start = 4;

constexpr const char* usage =
    "usage: peridotward --settings FILE [--check] [--log-level LEVEL]\n"
    "\n"
    "Runs one instance of the query tier.\n"
    "\n"
    "  --settings FILE    settings, JSON with comments\n"
    "  --check            check the settings and exit\n"
    "  --log-level LEVEL  debug, info, warn or error; overrides the file\n"
    "  --help             show this text\n"
    "\n"
    "exit codes: 0 success, 2 usage, 3 settings, 4 cannot start\n";

struct command_line
{
    std::string settings_file;
    std::string log_level;
    bool check = false;
};

/// Prints the usage and exits on invalid arguments.
command_line parse_command_line(int argc, char** argv)
{
    constexpr option options[] = {
        {"settings", required_argument, nullptr, 's'},
        {"check", no_argument, nullptr, 'c'},
        {"log-level", required_argument, nullptr, 'l'},
        {"help", no_argument, nullptr, 'h'},
        {nullptr, 0, nullptr, 0},
    };
    command_line parsed;
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "s:cl:h", options, nullptr)) !=
           -1) {
        switch (letter) {
        case 's':
            parsed.settings_file = optarg;
            break;
        case 'c':
            parsed.check = true;
            break;
        case 'l':
            parsed.log_level = optarg;
            break;
        case 'h':
            std::cout << usage;
            std::exit(EXIT_SUCCESS);
        default:
            std::cerr << usage;
            std::exit(exit_usage);
        }
    }
    if (parsed.settings_file.empty() || optind != argc) {
        std::cerr << usage;
        std::exit(exit_usage);
    }
    return parsed;
}

/// Waits for `signals` on a detached thread and requests the shutdown of
/// `runtime` on each.
void watch_signals(
    const sigset_t& signals, peridotward::instance_runtime& runtime)
{
    std::thread{[signals, &runtime] {
        while (true) {
            int received = 0;
            if (sigwait(&signals, &received) == 0)
                runtime.request_stop();
        }
    }}.detach();
}

} // namespace

int main(int argc, char** argv)
{
    const auto command = parse_command_line(argc, argv);
    auto loaded = peridotward::load_settings(command.settings_file);
    if (loaded && !command.log_level.empty())
        loaded->log.level = command.log_level;
    const auto logging = loaded.and_then([](const auto& settings) {
        return peridotward::start_log(settings.log, settings.instance.id);
    });
    if (!logging) {
        std::cerr << "peridotward: " << logging.error().message << "\n";
        return exit_settings;
    }
    if (command.check) {
        std::cout << command.settings_file << ": settings are valid\n";
        return EXIT_SUCCESS;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    static peridotward::instance_runtime runtime{std::move(*loaded)};
    const auto started = runtime.start();
    if (!started) {
        std::cerr << "peridotward: " << started.error().message << "\n";
        return exit_start;
    }
    watch_signals(signals, runtime);
    runtime.run();
    return EXIT_SUCCESS;
}
