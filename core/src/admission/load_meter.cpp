#include <peridotward/core/admission/load_meter.hpp>

#include <algorithm>

namespace peridotward {

void load_meter::on_timer(time_point due, time_point now) noexcept
{
    const std::chrono::duration<double> delay =
        std::max(now - due, duration::zero());
    mean_ += (delay - mean_) * gain;
    switch (level_) {
    case member_load::calm:
        if (mean_ > busy_above)
            level_ = member_load::busy;
        break;
    case member_load::busy:
        if (mean_ > full_above)
            level_ = member_load::full;
        else if (mean_ < calm_below)
            level_ = member_load::calm;
        break;
    case member_load::full:
        if (mean_ < busy_below)
            level_ = member_load::busy;
        break;
    }
}

} // namespace peridotward
