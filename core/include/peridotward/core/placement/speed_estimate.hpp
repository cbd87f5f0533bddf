#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>

namespace peridotward {

/// \brief Current speed of one replica, estimated from its reports.
///
/// \remarks Reports are compared with the replica's own long-term mean, so a
/// constant error, or a usual speed that the reports include, has no effect:
/// the usual speed is measured. With age, a report loses weight in favour of
/// that mean, and the variance of the estimate grows to that of all reports.
class speed_estimate
{
public:
    /// Time constant with which a report loses its weight: speeds change every
    /// 600 ms, so a report is outdated after 300 ms on average.
    static constexpr milliseconds time_constant{300};

    /// \param percent Duration of work in percent of the usual one, positive.
    void on_report(std::uint32_t percent, time_point now) noexcept;

    /// \returns Whether the replica ever reported a speed.
    [[nodiscard]] bool reported() const noexcept { return reports_ > 0; }
    /// \returns The latest report, in percent, or zero.
    [[nodiscard]] std::uint32_t latest() const noexcept { return latest_; }
    /// \returns When it arrived.
    [[nodiscard]] time_point reported_at() const noexcept
    {
        return reported_at_;
    }

    /// \returns The expected duration of work relative to the replica's
    /// long-term mean; 1 without reports.
    [[nodiscard]] double change(time_point now) const noexcept;

    /// \returns The expected square of that ratio: the square of `change` plus
    /// the variance of the estimate.
    [[nodiscard]] double squared_change(time_point now) const noexcept;

private:
    /// \returns Weight of the latest report, in [0, 1].
    [[nodiscard]] double weight(time_point now) const noexcept;

    std::uint32_t reports_ = 0; ///< Counted up to the span of the means.
    std::uint32_t latest_ = 0;
    time_point reported_at_;
    double mean_ = 0;     ///< Of the reports, in percent.
    double variance_ = 0; ///< Of the reports, in percent squared.
};

} // namespace peridotward
