#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstdint>

namespace peridotward {

/// \brief Moving mean of the time that one service's answers take.
class mean_latency
{
public:
    /// \brief Takes in one answer.
    /// \param typical Whether the upstream is taken as warm; the mean follows
    /// others too, but slowly, so that a service may become slower for good.
    constexpr void add(duration elapsed, bool typical) noexcept
    {
        if (samples_ < samples_needed)
            ++samples_;
        const auto weight = typical ? typical_weight : other_weight;
        mean_ += (elapsed - mean_) / std::min(weight, samples_);
    }

    /// \returns The mean, or 0 while too few answers were seen.
    [[nodiscard]] constexpr duration value() const noexcept
    {
        return samples_ < samples_needed ? duration{} : mean_;
    }

private:
    static constexpr std::int64_t samples_needed = 64;
    static constexpr std::int64_t typical_weight = 32;
    static constexpr std::int64_t other_weight = 64;

    duration mean_{};
    std::int64_t samples_ = 0;
};

} // namespace peridotward
