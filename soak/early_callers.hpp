#pragma once

#include "fleet.hpp"
#include "invariant_checker.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace peridotward::soak {

/// Callers of large answers. Each sends its next request early, reads slowly,
/// and leaves during an answer or reads both.
class early_callers
{
public:
    early_callers(
        invariant_checker& checker,
        const fleet& gateways,
        int count,
        std::uint64_t seed);
    ~early_callers();
    early_callers(const early_callers&) = delete;
    early_callers& operator=(const early_callers&) = delete;

    void stop();

private:
    void run(int caller_number, std::uint64_t seed);

    invariant_checker* checker_;
    const fleet* gateways_;
    std::atomic<bool> stopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace peridotward::soak
