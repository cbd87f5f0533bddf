#pragma once

#include <peridotward/core/placement/latency_sketch.hpp>

namespace peridotward {

/// \brief What the answers to one kind of request took lately.
class latency_profile
{
public:
    /// Answers before the quantiles mean anything.
    static constexpr std::uint32_t min_answers = 40;

    /// \brief Notes the time from a send to its answer.
    void add(duration took) noexcept;

    /// \returns The median, or zero before enough answers.
    [[nodiscard]] duration median() const noexcept { return median_; }

    /// \returns The wait before a repeat is worth its cost: most answers are
    /// there by then. Zero before enough answers.
    [[nodiscard]] duration hedge_after() const noexcept { return hedge_after_; }

private:
    void refresh() noexcept;

    latency_sketch recent_;
    std::uint32_t since_refresh_ = 0;
    duration median_{};
    duration hedge_after_{};
};

} // namespace peridotward
