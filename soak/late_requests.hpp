#pragma once

#include "fleet.hpp"
#include "invariant_checker.hpp"

#include <peridotward/base/random.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace peridotward::soak {

/// Callers with idle connections to one instance, each of which sends one
/// request at a random moment of the instance's shutdown.
class late_requests
{
public:
    /// Prefixes of the routes; the target states the work of a request.
    static constexpr const char* safe_path = "/long/";
    static constexpr const char* once_path = "/long-once/";
    static constexpr milliseconds route_timeout{4000};
    /// The time between the signals SIGTERM and SIGKILL.
    static constexpr milliseconds grace{6000};

    /// Opens the connections, and uses each for a short request.
    late_requests(
        invariant_checker& checker,
        const fleet& gateways,
        int instance,
        random_source& random);
    ~late_requests();
    late_requests(const late_requests&) = delete;
    late_requests& operator=(const late_requests&) = delete;

    /// Lets each caller send its request at its time after `signal`.
    void start(steady::time_point signal);
    /// Waits until all requests have ended.
    void wait();

private:
    struct caller;

    invariant_checker* checker_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<std::thread> threads_;
};

} // namespace peridotward::soak
