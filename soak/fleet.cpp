#include "fleet.hpp"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace peridotward::soak {

namespace {

/// Length to which the kernel cuts the name of a process.
constexpr std::size_t max_process_name = 15;

} // namespace

fleet::fleet(
    std::string program,
    std::string folder,
    run_addresses addresses,
    int size,
    std::size_t memory_mb)
    : program_{std::move(program)},
      folder_{std::move(folder)},
      addresses_{addresses},
      memory_mb_{memory_mb},
      processes_(static_cast<std::size_t>(size), 0),
      ending_(static_cast<std::size_t>(size), false)
{
    for (int i = 0; i < size; ++i)
        start(i);
}

fleet::~fleet()
{
    for (int i = 0; i < size(); ++i) {
        signal(i, SIGKILL);
        wait_for_exit(i, 2000);
    }
}

std::string fleet::write_settings(int instance) const
{
    const auto host = addresses_.instance_host(instance);
    const auto path = folder_ + "/" + std::to_string(instance) + ".jsonc";
    const auto address_of = [&](int port) {
        return "\"" + host + ":" + std::to_string(port) + "\"";
    };
    const auto memory = memory_mb_ == 0
                            ? std::string{}
                            : ",\"memory_mb\":" + std::to_string(memory_mb_);
    std::ofstream{path}
        << "{\"instance\":{\"id\":\"i" << instance << "\",\"domain\":\"d"
        << instance % 3 << "\",\"region\":\"r\",\"cores\":1" << memory
        << "},\"listen\":{"
        << "\"callers\":" << address_of(callers_port)
        << ",\"ready\":" << address_of(8081)
        << ",\"directory\":" << address_of(8082)
        << ",\"control\":" << address_of(8083)
        << ",\"metrics\":" << address_of(8084)
        << ",\"peers\":" << address_of(8085) << "},\"seeds\":[\""
        << addresses_.instance_host(0) << ":1\",\""
        << addresses_.instance_host(1) << ":1\"],\"store\":\""
        << addresses_.replica_host() << ":" << first_store_port + instance
        << "\",\"limits\":{\"repeat_ratio\":0.2,\"repeat_extra\":56,"
        << "\"repeat_window_s\":10,\"cold_over\":1.5,\"cold_slack\":5,"
        << "\"grace_s\":6}}\n";
    return path;
}

void fleet::start(int instance)
{
    const auto settings = write_settings(instance);
    const auto log = folder_ + "/" + std::to_string(instance) + ".log";
    const pid_t child = ::fork();
    if (child < 0)
        throw std::runtime_error{"cannot fork a gateway process"};
    if (child == 0) {
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        // Sockets of the stand-ins, also those of other seeds, would keep their
        // addresses and connections in use.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        // A reload may come before the program can handle it.
        sigset_t reload;
        ::sigemptyset(&reload);
        ::sigaddset(&reload, SIGHUP);
        ::sigprocmask(SIG_BLOCK, &reload, nullptr);
        ::execl(
            program_.c_str(),
            program_.c_str(),
            "--settings",
            settings.c_str(),
            nullptr);
        ::_exit(127);
    }
    const std::lock_guard lock{mutex_};
    processes_[static_cast<std::size_t>(instance)] = child;
    ending_[static_cast<std::size_t>(instance)] = false;
}

std::vector<int> fleet::restart_ended()
{
    std::vector<int> ended;
    {
        const std::lock_guard lock{mutex_};
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            int status = 0;
            if (processes_[i] <= 0 || ending_[i] ||
                ::waitpid(processes_[i], &status, WNOHANG) != processes_[i])
                continue;
            processes_[i] = 0;
            ended.push_back(static_cast<int>(i));
        }
    }
    for (const int instance : ended)
        start(instance);
    return ended;
}

std::size_t fleet::peak_memory_mb(int instance)
{
    pid_t process = 0;
    {
        const std::lock_guard lock{mutex_};
        process = processes_[static_cast<std::size_t>(instance)];
    }
    if (process <= 0)
        return 0;
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    std::string line;
    std::getline(status, line);
    // Until the program is executed, a new process is a copy of this one.
    const auto name = std::filesystem::path{program_}.filename().string();
    if (line != "Name:\t" + name.substr(0, max_process_name))
        return 0;
    while (std::getline(status, line)) {
        constexpr std::string_view key = "VmHWM:";
        if (line.starts_with(key))
            return std::strtoull(line.c_str() + key.size(), nullptr, 10) >> 10U;
    }
    return 0;
}

void fleet::signal(int instance, int number)
{
    const std::lock_guard lock{mutex_};
    if (number == SIGKILL || number == SIGTERM)
        ending_[static_cast<std::size_t>(instance)] = true;
    const auto process = processes_[static_cast<std::size_t>(instance)];
    if (process > 0)
        ::kill(process, number);
}

bool fleet::wait_for_exit(int instance, int max_wait_ms)
{
    const auto position = static_cast<std::size_t>(instance);
    pid_t process = 0;
    {
        const std::lock_guard lock{mutex_};
        process = processes_[position];
    }
    if (process <= 0)
        return true;
    const auto forget = [&] {
        const std::lock_guard lock{mutex_};
        processes_[position] = 0;
    };
    const auto kill_time = std::chrono::steady_clock::now() +
                           std::chrono::milliseconds{max_wait_ms};
    while (std::chrono::steady_clock::now() < kill_time) {
        if (::waitpid(process, nullptr, WNOHANG) == process) {
            forget();
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    ::kill(process, SIGCONT);
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    forget();
    return false;
}

} // namespace peridotward::soak
