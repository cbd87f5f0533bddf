#pragma once

#include "fleet.hpp"
#include "invariant_checker.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotward::soak {

/// How the caller threads behave.
struct caller_options
{
    int count = 12;
    int pause_ms = 5; ///< Min pause between two requests of a caller.
    /// Share of the requests after which a caller opens a new connection.
    double reconnect_share = 0;
};

/// Caller threads. Each one keeps one connection open and connects to a random
/// instance again when the connection closes.
class callers
{
public:
    callers(
        invariant_checker& checker,
        const fleet& gateways,
        const caller_options& options,
        std::uint64_t seed);
    ~callers();
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    /// Adds a path that a new configuration has published.
    void add_path(std::string path);
    /// Sends one request on a connection of its own and records its outcome.
    void send_once(attempt_record record);
    /// Stops and joins all caller threads.
    void stop();

private:
    void run(int caller_number, std::uint64_t seed);

    invariant_checker* checker_;
    const fleet* gateways_;
    caller_options options_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<std::string> paths_;
    std::vector<std::thread> threads_;
};

} // namespace peridotward::soak
