#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>

namespace peridotward {

/// \brief Token bucket of one granter's share of an account's quota.
///
/// \remarks Starts empty, because an earlier incarnation or granter may have
/// spent what a full bucket holds.
class credit_bucket
{
public:
    explicit credit_bucket(time_point now) noexcept : filled_at_{now} {}

    /// \brief Sets the rate, in credits per second, and the depth, which limits
    /// the credits held; takes effect from `now` on.
    void limits(double rate, double depth, time_point now) noexcept;

    /// \brief Adds the credits accrued until `now`.
    void fill(time_point now) noexcept;

    /// \brief Removes all credits.
    void clear(time_point now) noexcept;

    /// \brief Holds as many credits as its depth allows.
    void fill_up() noexcept { level_ = depth_; }

    /// \brief Holds `credits`, as far as its depth allows.
    void start_with(double credits) noexcept
    {
        level_ = std::min(credits, depth_);
    }

    /// \returns Up to `wanted` credits, which are taken out.
    [[nodiscard]] double take(double wanted) noexcept;

    /// \brief Puts back credits taken out at `taken_at` and not used. They are
    /// lost if the bucket was full since then, as accrued credits are.
    void put_back(double credits, time_point taken_at) noexcept;

    [[nodiscard]] double level() const noexcept { return level_; }
    [[nodiscard]] double rate() const noexcept { return rate_; }
    [[nodiscard]] double depth() const noexcept { return depth_; }

private:
    double level_ = 0;
    double rate_ = 0;
    double depth_ = 0;
    time_point filled_at_;
    time_point full_at_; ///< When the bucket was last full.
};

} // namespace peridotward
