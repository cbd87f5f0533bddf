#pragma once

#include <peridotward/core/budgets/retry_budget_window.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace peridotward {

/// \brief Retry budgets of one instance, one for each service.
class retry_budgets
{
public:
    /// Share of refused attempts above which a service counts as overloaded;
    /// one refusal in twenty does not.
    static constexpr double overload_refusal_share = 0.05;
    /// Weight of the newest attempt; the moving average spans about thirty.
    static constexpr double refusal_gain = 1.0 / 32;

    explicit retry_budgets(retry_bounds bounds) : bounds_{bounds} {}

    /// \brief Sets the time at which this process began to send.
    ///
    /// \remarks The burst allowance is available only one window later: a
    /// previous process on the same machine may have spent its share of it.
    void started(time_point at) noexcept { burst_from_ = at + bounds_.window; }

    /// \brief Sets this instance's share of the burst allowance: the part
    /// `own` of `total`, which is the sum over all instances.
    ///
    /// \remarks The total never decreases: an instance that is no longer
    /// visible may be cut off by a partition and continue to spend.
    void weight(std::uint32_t own, std::uint32_t total) noexcept
    {
        total_weight_ = std::max({total_weight_, total, 1U});
        own_weight_ = own;
    }

    /// \brief Shares the burst allowance equally among `count` instances.
    void instances(std::uint32_t count) noexcept { weight(1, count); }

    /// \brief Replaces the limits for the attempts sent from now on.
    void bounds(retry_bounds new_bounds) noexcept { bounds_ = new_bounds; }

    /// \brief Records whether a replica of `service` refused an attempt.
    void on_attempt(const std::string& service, bool refused)
    {
        auto& share = refusal_shares_[service];
        share += ((refused ? 1.0 : 0.0) - share) * refusal_gain;
    }

    /// \returns Whether replicas of `service` refuse so many attempts that
    /// hedges would only add load and spend the budget that retries need.
    [[nodiscard]] bool refuses_often(const std::string& service) const
    {
        const auto found = refusal_shares_.find(service);
        return found != refusal_shares_.end() &&
               found->second > overload_refusal_share;
    }

    void on_request(const std::string& service, time_point now)
    {
        windows_[service].on_request(bounds_, now);
    }
    [[nodiscard]] bool try_spend(
        const std::string& service, extra_attempt_kind kind, time_point now)
    {
        return windows_[service].try_spend(bounds_at(now), share(), kind, now);
    }
    void refund(const std::string& service, time_point spent_at)
    {
        windows_[service].refund(bounds_, spent_at);
    }
    /// \brief Calls `visit(service, totals)` for each service.
    template<class Visitor>
    void visit_totals(time_point now, Visitor&& visit)
    {
        for (auto& [service, window] : windows_)
            visit(service, window.count(bounds_at(now), share(), now));
    }

    [[nodiscard]] double remaining(const std::string& service, time_point now)
    {
        return windows_[service].remaining(bounds_at(now), share(), now);
    }

    /// \returns This instance's share of the burst allowance, in [0, 1].
    [[nodiscard]] double share() const noexcept
    {
        return static_cast<double>(own_weight_) / total_weight_;
    }

private:
    [[nodiscard]] retry_bounds bounds_at(time_point now) const noexcept
    {
        auto bounds = bounds_;
        if (now < burst_from_)
            bounds.burst_allowance = 0;
        return bounds;
    }

    retry_bounds bounds_;
    std::uint32_t own_weight_ = 1;
    std::uint32_t total_weight_ = 1;
    time_point burst_from_;
    std::unordered_map<std::string, retry_budget_window> windows_;
    std::unordered_map<std::string, double> refusal_shares_;
};

} // namespace peridotward
