#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cmath>

namespace peridotward {

/// \brief Mean of samples that lose weight exponentially with their age.
class decaying_mean
{
public:
    explicit decaying_mean(duration time_constant) noexcept
        : time_constant_{time_constant}
    {}

    void add(double sample, double weight, time_point now) noexcept
    {
        decay(now);
        weight_ += weight;
        total_ += weight * sample;
    }

    /// \returns The sum of the weights of all samples at `now`.
    [[nodiscard]] double weight(time_point now) noexcept
    {
        decay(now);
        return weight_;
    }

    /// \returns The mean, or zero without samples.
    [[nodiscard]] double mean() const noexcept
    {
        return weight_ > 0 ? total_ / weight_ : 0;
    }

private:
    void decay(time_point now) noexcept
    {
        const std::chrono::duration<double> age = now - at_;
        const std::chrono::duration<double> time_constant = time_constant_;
        const double factor = std::exp(-std::max(0.0, age / time_constant));
        weight_ *= factor;
        total_ *= factor;
        at_ = now;
    }

    duration time_constant_;
    double weight_ = 0;
    double total_ = 0;
    time_point at_;
};

} // namespace peridotward
