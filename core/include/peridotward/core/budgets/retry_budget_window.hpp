#pragma once

#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>

namespace peridotward {

/// \brief Limits on the extra attempts (retries and hedges) of the whole fleet
/// at one service.
struct retry_bounds
{
    double ratio = 0.1;            ///< Extra attempts per request.
    double burst_allowance = 10;   ///< Extra attempts above the ratio.
    duration window = seconds{10}; ///< Any span of this length counts.

    bool operator==(const retry_bounds&) const = default;
};

/// \brief Purpose of an extra attempt.
enum class extra_attempt_kind : std::uint8_t
{
    retry, ///< The previous attempt failed; without a retry the part is lost.
    hedge, ///< The previous attempt is slow.
};

/// \brief Sliding-window budget of one instance's extra attempts at one
/// service.
///
/// \remarks Keeps the sum over all instances within `retry_bounds` without
/// communication: each instance may spend the ratio of its own requests plus
/// its share of the burst allowance. Extra attempts are counted over a span
/// slightly longer than the window and requests over a slightly shorter one, so
/// the limit holds for every position of the window.
class retry_budget_window
{
public:
    static constexpr std::size_t slices = 10;
    /// Share of the budget that only retries may spend.
    static constexpr double retry_reserve = 0.25;

    /// \brief Counts a caller's request to the service.
    void on_request(const retry_bounds& bounds, time_point now) noexcept;

    /// \param share Share of the burst allowance, in [0, 1].
    /// \returns Whether an extra attempt may be sent; if so it is counted.
    [[nodiscard]] bool try_spend(
        const retry_bounds& bounds,
        double share,
        extra_attempt_kind kind,
        time_point now) noexcept;

    /// \brief Returns to the budget an extra attempt that was not sent.
    /// \param spent_at The time that was passed to `try_spend`.
    void refund(const retry_bounds& bounds, time_point spent_at) noexcept;

    /// \returns The number of retries that may be sent now.
    [[nodiscard]] double remaining(
        const retry_bounds& bounds, double share, time_point now) noexcept;

    struct totals
    {
        double allowed = 0; ///< Extra attempts that may be sent in the window.
        double spent = 0;   ///< Extra attempts sent in the window.
    };

    [[nodiscard]] totals
    count(const retry_bounds& bounds, double share, time_point now) noexcept;

private:
    struct slice
    {
        std::uint32_t requests = 0;
        std::uint32_t extra_attempts = 0;
    };

    void advance(const retry_bounds& bounds, time_point now) noexcept;

    /// The slices of the window, the current one, and one more for extra
    /// attempts.
    std::array<slice, slices + 2> ring_{};
    std::size_t head_ = 0;
    time_point head_start_;
};

} // namespace peridotward
