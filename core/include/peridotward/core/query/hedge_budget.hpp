#pragma once

#include <peridotward/core/query/attempt.hpp>

#include <algorithm>

namespace peridotward {

/// \brief What a `hedge_budget` grants.
struct hedge_limits
{
    double share = 0.05;       ///< Extra requests per first one.
    double most_saved = 64;    ///< Requests.
    double retry_reserve = 32; ///< Retries that need not be earned.
    double reserve_refill = 8; ///< Of the reserve, requests a second.
    bool in_overload = false;  ///< Whether anything is granted in overload.
};

/// \brief Limits that grant every hedge and retry; a baseline.
inline constexpr hedge_limits unlimited_hedges{1000, 1e9, 0, 0, true};

/// \brief Shared allowance of one instance for hedges and retries.
///
/// \remarks Every part of a query whose first request reached an upstream
/// earns its share of a request, and every hedge or retry takes a whole one.
/// Retries alone may also draw on a small reserve, since a failed part would
/// else stay missing where too few searches run to earn anything. Extra
/// requests never exceed that share of the first ones and the reserve. Nothing
/// is granted under overload. Source: retry budgets as in "Finagle" and Dean,
/// Barroso, "The tail at scale", 2013.
class hedge_budget
{
public:
    /// \brief Share of shed among recent attempts that means overload.
    static constexpr double overload_share = 0.05;

    explicit hedge_budget(hedge_limits limits = {}) noexcept
        : limits_{limits}, reserve_{limits.retry_reserve}
    {}

    /// \brief Earns for a part whose first request reached an upstream.
    void on_first_sent() noexcept
    {
        saved_ = std::min(saved_ + limits_.share, limits_.most_saved);
    }

    /// \returns Whether one hedge may be sent; takes it if so.
    [[nodiscard]] bool take_hedge() noexcept
    {
        const bool held_back = overloaded() && !limits_.in_overload;
        if (held_back || saved_ < 1)
            return false;
        saved_ -= 1;
        return true;
    }

    /// \returns Whether one retry may be sent; takes it if so.
    [[nodiscard]] bool take_retry(time_point now) noexcept
    {
        refill(now);
        if (take_hedge())
            return true;
        const bool held_back = overloaded() && !limits_.in_overload;
        if (held_back || reserve_ < 1)
            return false;
        reserve_ -= 1;
        return true;
    }

    /// \brief Gives back what was taken for a request that was not sent.
    void give_back() noexcept
    {
        saved_ = std::min(saved_ + 1, limits_.most_saved);
    }

    /// \brief Notes the end of any attempt.
    void on_ended(attempt_outcome outcome) noexcept
    {
        const double shed = outcome == attempt_outcome::shed ? 1.0 : 0.0;
        shed_share_ += (shed - shed_share_) / memory;
    }

    /// \brief Notes whether queries wait for admission.
    void queue_waiting(bool waiting) noexcept { waiting_ = waiting; }

    [[nodiscard]] bool overloaded() const noexcept
    {
        return waiting_ || shed_share_ > overload_share;
    }

    /// \returns The extra requests that may be sent now.
    [[nodiscard]] double saved() const noexcept { return saved_; }

private:
    static constexpr double memory = 128; // attempts

    void refill(time_point now) noexcept
    {
        const std::chrono::duration<double> passed = now - refilled_;
        refilled_ = now;
        reserve_ = std::min(
            reserve_ + std::max(0.0, passed.count()) * limits_.reserve_refill,
            limits_.retry_reserve);
    }

    hedge_limits limits_;
    double saved_ = 0;
    double reserve_;
    time_point refilled_;
    double shed_share_ = 0;
    bool waiting_ = false;
};

} // namespace peridotward
