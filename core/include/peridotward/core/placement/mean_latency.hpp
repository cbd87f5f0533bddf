#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace peridotward {

/// \brief Moving average of the latency of one service.
class mean_latency
{
public:
    /// \brief Adds the latency of one answer.
    /// \param typical Whether the upstream counts as warm. Other answers have a
    /// smaller weight, so that the mean still follows a service that becomes
    /// permanently slower.
    constexpr void add(duration elapsed, bool typical) noexcept
    {
        if (samples_ < min_samples)
            ++samples_;
        const auto weight = typical ? typical_weight : other_weight;
        mean_ += (elapsed - mean_) / std::min(weight, samples_);
    }

    /// \returns The mean, or 0 before the minimum number of samples.
    [[nodiscard]] constexpr duration value() const noexcept
    {
        return samples_ < min_samples ? duration{} : mean_;
    }

private:
    static constexpr std::int64_t min_samples = 64;
    static constexpr std::int64_t typical_weight = 32;
    static constexpr std::int64_t other_weight = 64;

    duration mean_{};
    std::int64_t samples_ = 0;
};

} // namespace peridotward
