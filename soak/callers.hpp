#pragma once

#include "fleet.hpp"
#include "judge.hpp"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotward::soak {

/// Callers that keep their connections until the process behind is gone.
class callers
{
public:
    callers(judge& seen, const fleet& asked, int count, std::uint64_t seed);
    ~callers();
    callers(const callers&) = delete;
    callers& operator=(const callers&) = delete;

    /// Adds a path that was just published.
    void add_path(std::string path);
    void stop();

private:
    void run(int number, std::uint64_t seed);

    judge* seen_;
    const fleet* asked_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::vector<std::string> paths_;
    std::vector<std::thread> threads_;
};

} // namespace peridotward::soak
