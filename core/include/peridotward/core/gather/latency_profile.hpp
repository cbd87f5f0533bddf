#pragma once

#include <peridotward/core/placement/latency_sketch.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace peridotward {

/// \brief Quantiles of the recent latencies of one kind of request.
class latency_profile
    : public boost::
          intrusive_ref_counter<latency_profile, boost::thread_unsafe_counter>
{
public:
    /// Answers needed before the quantiles are reported.
    static constexpr std::uint32_t min_answers = 40;

    /// \brief Adds the time from an attempt to its answer.
    void add(duration latency) noexcept;

    /// \returns The median latency, or zero before `min_answers` answers.
    [[nodiscard]] duration median() const noexcept { return median_; }

    /// \returns The delay after which to send a hedge: most answers arrive
    /// earlier. Zero before `min_answers` answers.
    [[nodiscard]] duration hedge_after() const noexcept { return hedge_after_; }

private:
    void refresh() noexcept;

    latency_sketch recent_;
    std::uint32_t since_refresh_ = 0;
    duration median_{};
    duration hedge_after_{};
};

using latency_profile_ptr = boost::intrusive_ptr<latency_profile>;

} // namespace peridotward
