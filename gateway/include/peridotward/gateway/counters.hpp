#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/core/placement/latency_sketch.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Counters and latencies of one instance.
class counters
{
public:
    /// Edges of the latency histogram, in milliseconds.
    static constexpr std::array<std::uint32_t, 12> edges{
        5, 10, 20, 35, 50, 75, 100, 150, 250, 400, 800, 2000};

    void count(std::string_view name, std::uint64_t step = 1);
    void
    request(std::string_view route, std::string_view outcome, duration took);

    /// \returns Everything in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    struct latencies
    {
        std::array<std::uint64_t, edges.size() + 1> bins{};
        double seconds = 0;
        std::uint64_t count = 0;
    };

    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, latencies, std::less<>> latencies_;
};

} // namespace peridotward
