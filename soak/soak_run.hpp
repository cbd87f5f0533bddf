#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace peridotward::soak {

struct soak_options
{
    std::string program;
    std::uint64_t first_seed = 1;
    std::uint64_t last_seed = 1;
    int seconds = 10; ///< Of faults in each run.
    int instances = 4;
    int callers = 12;
    int parallel = 1;
    std::string folder = "out/soak";
};

struct soak_result
{
    std::uint64_t seed = 0;
    std::size_t attempts = 0;
    std::size_t repeats = 0;
    std::string faults; ///< What was done, in order.
    std::vector<std::string> broken;
};

/// Runs one seed.
[[nodiscard]] soak_result
run_seed(const soak_options& options, std::uint64_t seed);

} // namespace peridotward::soak
