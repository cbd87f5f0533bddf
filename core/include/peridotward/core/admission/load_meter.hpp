#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/membership/peer_message.hpp>

namespace peridotward {

/// \brief Tells how busy this instance is from how late its own timers run.
///
/// \remarks A timer that fires late waited for work that was ahead of it, or
/// for a processor that others use: callers' requests wait as long. Levels
/// have a gap, so that a load on the edge does not flap.
class load_meter
{
public:
    static constexpr milliseconds busy_above{12};
    static constexpr milliseconds calm_below{5};
    static constexpr milliseconds full_above{40};
    static constexpr milliseconds busy_below{25};
    /// Weight of the newest delay in the mean.
    static constexpr double gain = 0.2;

    /// \brief Notes a timer that was due at `due` and fired at `now`.
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
