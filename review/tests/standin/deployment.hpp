// A small deployment: the platform's store, and gateways that are started with
// the command and the settings template of the deploy file.
#pragma once

#include "store.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <regex>
#include <sstream>

namespace review {

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

/// The record of a case: one line for each thing that was seen outside.
class recorder
{
public:
    explicit recorder(const std::string& path) : file_{path} {}

    void write(const std::string& line)
    {
        const std::lock_guard lock{mutex_};
        const auto at =
            std::chrono::duration_cast<milliseconds>(steady::now() - begin_);
        char time[32];
        std::snprintf(
            time,
            sizeof time,
            "%9.3f  ",
            static_cast<double>(at.count()) / 1000);
        file_ << time << line << std::endl;
    }

private:
    steady::time_point begin_ = steady::now();
    std::mutex mutex_;
    std::ofstream file_;
};

/// The loopback addresses of one run; all of its ports were free.
struct address_plan
{
    std::string prefix; ///< The first three bytes.
    std::uint16_t port = 0;

    address_plan()
    {
        std::mt19937 random{std::random_device{}()};
        for (int tries = 0; tries < 100; ++tries) {
            prefix = "127." + std::to_string(20 + random() % 200) + "." +
                     std::to_string(1 + random() % 250) + ".";
            port = static_cast<std::uint16_t>(12000 + random() % 18000);
            if (all_free())
                return;
        }
        throw std::runtime_error{"no free ports"};
    }

    /// Gateways have the hosts from 1, the store 200, replicas those from 100.
    [[nodiscard]] address at(int host, int offset = 0) const
    {
        return {
            prefix + std::to_string(host),
            static_cast<std::uint16_t>(port + offset)};
    }

private:
    [[nodiscard]] bool all_free() const
    {
        for (const int host : {1, 2, 3, 4, 5, 6, 7, 8, 100, 101, 102, 200}) {
            for (int offset = 0; offset < 24; ++offset) {
                const int tried = ::socket(AF_INET, SOCK_STREAM, 0);
                const auto native = to_native(at(host, offset));
                const bool bound =
                    ::bind(
                        tried,
                        reinterpret_cast<const sockaddr*>(&native),
                        sizeof native) == 0;
                ::close(tried);
                if (!bound)
                    return false;
            }
        }
        return true;
    }
};

/// Replaces the placeholders of the settings template that the platform fills.
inline std::string
fill_template(std::string text, const std::map<std::string, json>& values)
{
    // Sections of values that a small deployment doesn't have.
    text = std::regex_replace(
        text, std::regex{R"(\{\{#([\w.]+)\}\}[^]*?\{\{/\1\}\}\n?)"}, "");
    for (const auto& [name, value] : values) {
        const auto plain =
            value.is_string() ? value.get<std::string>() : value.dump();
        for (const auto& [placeholder, content] :
             {std::pair{"{{" + name + "|json}}", value.dump()},
              std::pair{"{{" + name + "}}", plain}}) {
            for (auto at = text.find(placeholder); at != std::string::npos;
                 at = text.find(placeholder))
                text.replace(at, placeholder.size(), content);
        }
    }
    return text;
}

/// One process `peridotward-gateway`.
class gateway_process
{
public:
    gateway_process(
        const address_plan& plan,
        int number,
        const std::string& zone,
        const std::string& folder,
        const json& bounds)
        : plan_{plan}, number_{number}
    {
        const auto name = "front-" + zone + "-" + std::to_string(number);
        std::ifstream source{"deploy/settings.jsonc"};
        std::stringstream text;
        text << source.rdbuf();
        auto seeds = json::array();
        for (int seed = 1; seed <= 3; ++seed)
            seeds.push_back(plan.at(seed, 3).text());
        std::map<std::string, json> values{
            {"node", name},
            {"zone", zone},
            {"region", "aotearoa"},
            {"ip", plan.at(number).host},
            {"limits.cpuShare", 0.25},
            {"listen.front", front().text()},
            {"listen.ready", plan.at(number, 1).text()},
            {"listen.directory", plan.at(number, 2).text()},
            {"listen.control", plan.at(number, 3).text()},
            {"internalPortRange.0", plan.port + 4},
            {"internalPortRange.1", plan.port + 19},
            {"seeds", seeds},
            {"platform.address", plan.at(200).text()}};
        for (const auto& [key, value] : bounds.items())
            values["contractBounds." + key] = value;
        settings_ = folder + "/" + name + ".conf";
        log_ = folder + "/" + name + ".log";
        std::ofstream{settings_} << fill_template(text.str(), values);
        start();
    }

    ~gateway_process()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;

    /// Starts the command of the deploy file.
    void start()
    {
        pid_ = ::fork();
        if (pid_ != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(
            log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("PERIDOTWARD_CONFIG", settings_.c_str(), 1);
        const char* program = "target/platform/peridotward-gateway";
        ::execl(program, program, static_cast<char*>(nullptr));
        ::_exit(127);
    }

    void signal(int number) const { ::kill(pid_, number); }

    /// \returns Whether the process has ended; it is then forgotten.
    bool ended()
    {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_)
            pid_ = 0;
        return pid_ <= 0;
    }
    /// \returns What `waitpid` said of the ended process.
    [[nodiscard]] int status() const { return status_; }

    [[nodiscard]] address front() const { return plan_.at(number_); }

    [[nodiscard]] bool ready() const
    {
        const auto connection = connect_to(plan_.at(number_, 1));
        if (!connection ||
            !connection->write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        const auto answer =
            connection->read(steady::now() + std::chrono::seconds{1});
        return answer && answer->status() == 200;
    }

private:
    address_plan plan_;
    int number_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = 0;
    int status_ = 0;
};

/// The store and `count` gateways in three zones.
class deployment
{
public:
    /// The bounds of the small deployments.
    static json small_bounds()
    {
        return {
            {"retryBudgetRatio", 0.2},
            {"retryBudgetExtra", 56},
            {"budgetWindowS", 10},
            {"coldOver", 1.5},
            {"coldSlack", 5},
            {"graceS", 6}};
    }

    deployment()
    {
        char path[] = "/tmp/peridotward-review-XXXXXX";
        if (::mkdtemp(path) == nullptr)
            throw std::runtime_error{"no temporary folder"};
        folder = path;
        kv = std::make_unique<store>(plan.at(200));
    }

    ~deployment()
    {
        gateways.clear();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(folder, ignored);
        else
            std::cout << "logs: " << folder << "\n";
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts the gateways and waits until all are ready.
    void start_gateways(int count)
    {
        const char* const zones[] = {"akl", "wlg", "chc"};
        for (int i = 0; i < count; ++i)
            gateways.push_back(std::make_unique<gateway_process>(
                plan, i + 1, zones[i % 3], folder, small_bounds()));
        const auto until = steady::now() + std::chrono::seconds{10};
        for (const auto& gateway : gateways) {
            while (!gateway->ready()) {
                if (gateway->ended() || steady::now() > until)
                    throw std::runtime_error{"a gateway isn't ready"};
                std::this_thread::sleep_for(milliseconds{50});
            }
        }
    }

    address_plan plan;
    std::string folder;
    std::unique_ptr<store> kv;
    std::vector<std::unique_ptr<gateway_process>> gateways;
};

/// \returns A service of the operator's configuration.
inline json service_entry(const std::string& name, int max_connections)
{
    return {
        {"name", name},
        {"healthPath", "/healthz"},
        {"maxConnections", max_connections},
        {"warmupS", 3.0},
        {"warmupPerS", 0.0}};
}

/// \returns A configuration of the operator.
inline json
config_entry(std::uint64_t version, const json& routes, const json& services)
{
    return {
        {"version", version},
        {"routes", routes},
        {"services", services},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 262144},
          {"headerTimeoutMs", 5000},
          {"idleTimeoutMs", 30000}}}};
}

/// \returns The entry that a replica writes of itself.
inline json replica_entry(
    const std::string& service,
    const address& at,
    const std::string& zone,
    int slots)
{
    return {
        {"service", service},
        {"address", at.text()},
        {"zone", zone},
        {"version", "v1"},
        {"slots", slots},
        {"state", "ready"},
        {"warmupLeftMs", 0},
        {"sequence", 1},
        {"born", 1796400000000}};
}

/// Runs a case; an exception means that it couldn't run.
inline int run_case(const std::function<int()>& body)
{
    ::signal(SIGPIPE, SIG_IGN);
    try {
        return body();
    }
    catch (const std::exception& failure) {
        std::cerr << "not run: " << failure.what() << "\n";
        return not_run;
    }
}

/// \returns Whether the case plays its disruption.
inline bool with_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

} // namespace review
