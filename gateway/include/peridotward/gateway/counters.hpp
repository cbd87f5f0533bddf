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

/// \brief Event counters and request latency histograms of one instance.
class counters
{
public:
    /// Inclusive upper bounds of the latency histogram's buckets,
    /// in milliseconds; one more bucket holds longer latencies.
    static constexpr std::array<std::uint32_t, 12> bucket_bounds_ms{
        5, 10, 20, 35, 50, 75, 100, 150, 250, 400, 800, 2000};

    /// \brief Adds `step` to the counter `name`, which may end in a label set
    /// (`name{label="value"}`) and lacks the prefix `peridotward_`.
    void count(std::string_view name, std::uint64_t step = 1);

    /// \brief Sets the gauge `name`, with the same form of name.
    void set(std::string_view name, std::uint64_t value);

    /// \brief Counts a finished request and records its latency.
    void record_request(
        std::string_view route, std::string_view outcome, duration elapsed);

    /// \returns All counters and histograms in the Prometheus text format.
    [[nodiscard]] std::string render() const;

private:
    struct latency_histogram
    {
        std::array<std::uint64_t, bucket_bounds_ms.size() + 1> buckets{};
        double seconds = 0;
        std::uint64_t count = 0;
    };

    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, latency_histogram, std::less<>> latencies_;
};

} // namespace peridotward
