#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/membership/peer_message.hpp>

namespace peridotward {

/// \brief Estimates the load of this instance from the delay of its timers.
///
/// \remarks A timer fires late when other work of the event loop runs before
/// it, or when another process uses the processor; callers' requests are
/// delayed as much. Thresholds for rising and falling load differ (hysteresis),
/// so that the level does not oscillate.
class load_meter
{
public:
    static constexpr milliseconds busy_above{12};
    static constexpr milliseconds calm_below{5};
    static constexpr milliseconds full_above{40};
    static constexpr milliseconds busy_below{25};
    /// Weight of the newest delay in the moving average.
    static constexpr double gain = 0.2;

    /// \brief Records the delay of a timer that was due at `due` and fired at
    /// `now`.
    void on_timer(time_point due, time_point now) noexcept;

    [[nodiscard]] member_load level() const noexcept { return level_; }
    [[nodiscard]] duration mean_delay() const noexcept
    {
        return std::chrono::duration_cast<duration>(mean_);
    }

private:
    std::chrono::duration<double> mean_{};
    member_load level_ = member_load::calm;
};

} // namespace peridotward
