#pragma once

#include <peridotward/core/query/attempt.hpp>

#include <algorithm>

namespace peridotward {

/// \brief Limits of a `hedge_budget`.
struct hedge_limits
{
    double extra_ratio = 0.05;      ///< Extra attempts per first attempt.
    double max_tokens = 64;         ///< Extra attempts that can accumulate.
    double retry_reserve = 32;      ///< Retries allowed without tokens.
    double reserve_refill = 8;      ///< Retries per second back to the reserve.
    bool allow_in_overload = false; ///< Whether to grant any under overload.
};

/// \brief Limits that grant every hedge and retry; a baseline for simulations.
inline constexpr hedge_limits unlimited_hedges{1000, 1e9, 0, 0, true};

/// \brief Token bucket for the hedges and retries of all queries of one
/// instance.
///
/// \remarks Every part of a query whose first attempt reached an upstream adds
/// `extra_ratio` tokens, and every hedge or retry spends one token. Retries
/// can also spend a small reserve that refills over time: with few queries
/// the tokens would not suffice to retry a failed part, which would then stay
/// missing. The number of extra attempts never exceeds `extra_ratio` times the
/// number of first attempts, plus the reserve. Under overload none is granted.
/// Source: retry budgets as in "Finagle" and Dean, Barroso, "The tail at
/// scale", 2013.
class hedge_budget
{
public:
    /// \brief Fraction of recent attempts that were shed above which the
    /// upstreams count as overloaded.
    static constexpr double overload_share = 0.05;

    explicit hedge_budget(hedge_limits limits = {}) noexcept
        : limits_{limits}, reserve_{limits.retry_reserve}
    {}

    /// \brief Adds tokens for a part whose first attempt reached an upstream.
    void on_first_sent() noexcept
    {
        tokens_ = std::min(tokens_ + limits_.extra_ratio, limits_.max_tokens);
    }

    /// \brief Spends a token for a hedge, if one is left.
    ///
    /// \returns Whether the hedge may be sent.
    [[nodiscard]] bool try_spend_hedge() noexcept
    {
        const bool blocked = overloaded() && !limits_.allow_in_overload;
        if (blocked || tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

    /// \brief Spends a token or a part of the reserve for a retry.
    ///
    /// \returns Whether the retry may be sent.
    [[nodiscard]] bool try_spend_retry(time_point now) noexcept
    {
        refill(now);
        if (try_spend_hedge())
            return true;
        const bool blocked = overloaded() && !limits_.allow_in_overload;
        if (blocked || reserve_ < 1)
            return false;
        reserve_ -= 1;
        return true;
    }

    /// \brief Returns the token of a hedge or retry that was not sent.
    void refund() noexcept
    {
        tokens_ = std::min(tokens_ + 1, limits_.max_tokens);
    }

    /// \brief Updates the fraction of shed attempts at the end of any attempt.
    void on_ended(attempt_outcome outcome) noexcept
    {
        const double shed = outcome == attempt_outcome::shed ? 1.0 : 0.0;
        shed_share_ += (shed - shed_share_) / shed_average_length;
    }

    /// \brief Sets whether queries wait for admission, which counts as
    /// overload.
    void set_queries_waiting(bool waiting) noexcept { waiting_ = waiting; }

    /// \returns Whether queries wait for admission or too many attempts were
    /// shed.
    [[nodiscard]] bool overloaded() const noexcept
    {
        return waiting_ || shed_share_ > overload_share;
    }

    /// \returns The available tokens, without the reserve.
    [[nodiscard]] double tokens() const noexcept { return tokens_; }

private:
    /// Time constant, in attempts, of the moving average of shed attempts.
    static constexpr double shed_average_length = 128;

    void refill(time_point now) noexcept
    {
        const std::chrono::duration<double> elapsed = now - last_refill_;
        last_refill_ = now;
        reserve_ = std::min(
            reserve_ + std::max(0.0, elapsed.count()) * limits_.reserve_refill,
            limits_.retry_reserve);
    }

    hedge_limits limits_;
    double tokens_ = 0;
    double reserve_;
    time_point last_refill_;
    double shed_share_ = 0;
    bool waiting_ = false;
};

} // namespace peridotward
