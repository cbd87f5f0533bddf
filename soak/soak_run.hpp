#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotward::soak {

/// Which series of faults a run plays.
enum class soak_series : std::uint8_t
{
    base, ///< The series of earlier releases, so that their seeds stay as they
          ///< were.
    all,  ///< Drawn by the seed, with all orders of events.
    /// Outages of all replicas while configurations come, large and endless
    /// messages, late readers, and foreign keys beside live ones.
    stress,
};

struct soak_options
{
    std::string program;
    std::uint64_t first_seed = 1;
    std::uint64_t last_seed = 1;
    int seconds = 10; ///< How long each run injects faults.
    int instances = 4;
    int callers = 12;
    int parallel = 1;
    int pause_ms = 5; ///< Min pause between two requests of a caller.
    int shards = 5;   ///< Services that a search is split over.
    /// Limit of memory in the settings of the gateways, in MB; 0 for none, for
    /// programs that don't know the setting.
    int memory_mb = 260;
    /// Largest accepted resident size of a gateway, in MB. Sanitizers need
    /// more.
    int resident_mb = 260;
    std::string folder = "out/soak";
    soak_series series = soak_series::all;
};

struct soak_result
{
    std::uint64_t seed = 0;
    std::size_t attempts = 0;
    std::size_t extra_attempts = 0;
    std::size_t peak_memory_mb = 0; ///< Of one process.
    std::string faults;             ///< Names of the injected faults, in order.
    std::vector<std::string> violations;
};

/// Runs the gateways with the faults of one seed.
/// An exception during the run is reported as a violation.
[[nodiscard]] soak_result
run_seed(const soak_options& options, std::uint64_t seed);

} // namespace peridotward::soak
