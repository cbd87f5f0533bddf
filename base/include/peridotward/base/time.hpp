#pragma once

#include <chrono>

namespace peridotward {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// \brief Monotonic time, in nanoseconds since an arbitrary start.
///
/// \remarks Values of different processes are not comparable.
using time_point = std::chrono::steady_clock::time_point;

/// \brief Difference of two monotonic times.
using duration = time_point::duration;

/// \brief Wall-clock time, in milliseconds since the Unix epoch.
using wall_time = std::chrono::sys_time<milliseconds>;

} // namespace peridotward
