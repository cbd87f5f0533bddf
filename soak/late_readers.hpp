#pragma once

#include "fleet.hpp"
#include "invariant_checker.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace peridotward::soak {

/// Bursts of callers of very large answers, which begin to read late.
class late_readers
{
public:
    static constexpr milliseconds deadline{4000};
    /// Callers of one burst. Their answers together exceed the memory of the
    /// instance that serves them.
    static constexpr int burst_size = 160;

    /// \param bursts The bursts that run at the same time, each at an instance
    /// drawn anew each time.
    late_readers(
        invariant_checker& checker,
        const fleet& gateways,
        int bursts,
        std::uint64_t seed);
    ~late_readers();
    late_readers(const late_readers&) = delete;
    late_readers& operator=(const late_readers&) = delete;

    void stop();

private:
    void run(std::uint64_t seed);

    invariant_checker* checker_;
    const fleet* gateways_;
    std::atomic<bool> stopped_ = false;
    std::vector<std::thread> threads_;
};

} // namespace peridotward::soak
