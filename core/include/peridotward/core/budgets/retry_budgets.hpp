#pragma once

#include <peridotward/core/budgets/retry_budget_window.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotward {

/// \brief The retry windows of all services, as seen by one instance.
class retry_budgets
{
public:
    /// Share of refusals above which a service is pressed: a single refusal
    /// in twenty is no overload.
    static constexpr double pressed_share = 0.05;
    /// Weight of the newest attempt: the share spans about thirty.
    static constexpr double refusal_gain = 1.0 / 32;

    explicit retry_budgets(retry_bounds bounds) : bounds_{bounds} {}

    /// \brief Says when this process began to send.
    ///
    /// \remarks Until a window has passed only the ratio is spent: an earlier
    /// life on the same machine may have spent its part of the extra.
    void started(time_point at) noexcept { extra_from_ = at + bounds_.window; }

    /// \brief Says how many instances may spend from the same extra.
    ///
    /// \remarks Only ever raised: an instance that is not heard of may be
    /// cut off and go on spending.
    void instances(std::uint32_t count) noexcept
    {
        instances_ = std::max(instances_, count);
    }

    /// \brief Puts other bounds in force, for what is sent from now on.
    void bounds(retry_bounds changed) noexcept { bounds_ = changed; }

    /// \brief Notes whether a replica of `service` refused an attempt.
    void on_attempt(const std::string& service, bool refused)
    {
        auto& share = refusals_[service];
        share += ((refused ? 1.0 : 0.0) - share) * refusal_gain;
    }

    /// \returns Whether replicas of `service` refuse so much that hedges
    /// would only add to it and spend what retries need.
    [[nodiscard]] bool refuses_often(const std::string& service) const
    {
        const auto found = refusals_.find(service);
        return found != refusals_.end() && found->second > pressed_share;
    }

    void on_request(const std::string& service, time_point now)
    {
        windows_[service].on_request(bounds_, now);
    }
    [[nodiscard]] bool try_spend(
        const std::string& service, extra_attempt_kind use, time_point now)
    {
        return windows_[service].try_spend(
            bounds_at(now), instances_, use, now);
    }
    void refund(const std::string& service) { windows_[service].refund(); }
    [[nodiscard]] double remaining(const std::string& service, time_point now)
    {
        return windows_[service].remaining(bounds_at(now), instances_, now);
    }

private:
    [[nodiscard]] retry_bounds bounds_at(time_point now) const noexcept
    {
        auto bounds = bounds_;
        if (now < extra_from_)
            bounds.burst_allowance = 0;
        return bounds;
    }

    retry_bounds bounds_;
    std::uint32_t instances_ = 1;
    time_point extra_from_;
    std::unordered_map<std::string, retry_budget_window> windows_;
    std::unordered_map<std::string, double> refusals_;
};

} // namespace peridotward
