#pragma once

#include <peridotward/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace peridotward {

/// \brief Estimates quantiles of recent latencies in fixed memory.
///
/// \remarks A histogram with eight bins per octave, from 32 us to 33 s, so a
/// quantile is at most one eighth too high. All counts are halved when their
/// sum reaches `window`, which reduces the weight of older latencies. Source of
/// the bins: the log-linear layout of HdrHistogram.
class latency_sketch
{
public:
    static constexpr std::uint32_t window = 2048;

    /// \brief Adds one latency. Does not allocate.
    void add(duration latency) noexcept;

    /// \returns An upper bound of the `share` quantile, `share` in [0, 1], or
    /// zero without any latency.
    [[nodiscard]] duration quantile(double share) const noexcept;

    /// \returns The sum of the counts on which the estimate is based.
    [[nodiscard]] std::uint32_t count() const noexcept { return count_; }

private:
    static constexpr std::size_t bins_per_octave = 8;
    static constexpr std::size_t octaves = 17;
    static constexpr std::size_t bin_count = (octaves + 1) * bins_per_octave;
    static constexpr microseconds bin_unit{32};

    [[nodiscard]] static std::size_t bin_of(duration latency) noexcept;
    [[nodiscard]] static duration upper_edge(std::size_t bin) noexcept;
    void halve() noexcept;

    std::array<std::uint16_t, bin_count> bins_{};
    std::uint32_t count_ = 0;
};

} // namespace peridotward
