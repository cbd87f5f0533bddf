#include <peridotward/base/clock.hpp>

#include <ctime>

namespace peridotward {

time_point machine_clock::now() const noexcept
{
    timespec spec{};
    ::clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point{seconds{spec.tv_sec} + nanoseconds{spec.tv_nsec}};
}

wall_time machine_clock::wall() const noexcept
{
    return std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace peridotward
