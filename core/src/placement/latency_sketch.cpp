#include <peridotward/core/placement/latency_sketch.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace peridotward {

std::size_t latency_sketch::bin_of(duration latency) noexcept
{
    const auto units = static_cast<std::uint64_t>(
        std::max<duration>(latency, duration::zero()) / bin_unit);
    if (units < bins_per_octave)
        return units;
    const auto octave =
        static_cast<std::size_t>(std::bit_width(units / bins_per_octave)) - 1;
    if (octave >= octaves)
        return bin_count - 1;
    return octave * bins_per_octave + (units >> octave);
}

duration latency_sketch::upper_edge(std::size_t bin) noexcept
{
    if (bin < 2 * bins_per_octave)
        return bin_unit * (bin + 1);
    const auto octave = bin / bins_per_octave - 1;
    const auto step = bin - octave * bins_per_octave;
    return bin_unit * ((step + 1) << octave);
}

void latency_sketch::add(duration latency) noexcept
{
    ++bins_[bin_of(latency)];
    if (++count_ >= window)
        halve();
}

duration latency_sketch::quantile(double share) const noexcept
{
    if (count_ == 0)
        return duration::zero();
    const auto target_count = static_cast<std::uint32_t>(
        std::ceil(std::clamp(share, 0.0, 1.0) * count_));
    std::uint32_t below = 0;
    for (std::size_t bin = 0; bin < bin_count; ++bin) {
        below += bins_[bin];
        if (below > 0 && below >= target_count)
            return upper_edge(bin);
    }
    return upper_edge(bin_count - 1);
}

void latency_sketch::halve() noexcept
{
    count_ = 0;
    for (auto& bin : bins_) {
        bin /= 2;
        count_ += bin;
    }
}

} // namespace peridotward
