#include <peridotward/core/placement/replica_health.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotward {

namespace {

/// Weight of the newest answer in the mean.
constexpr double slowness_gain = 0.25;
/// Most that one answer counts, in times the usual latency.
constexpr double most_slowness = 30;
/// Without answers a replica counts as usual again after some of these; short
/// against the length of a slow spell, so that its end is found.
constexpr seconds slowness_memory{2};
/// Weight of the newest outcome in the shares of failures and refusals.
constexpr double outcome_gain = 0.15;
constexpr seconds outcome_memory{2};
/// A told load is worth little after one or two service times.
constexpr milliseconds load_memory{60};
/// Waits before the next try to connect; the last one repeats.
constexpr std::array reconnect_waits{
    milliseconds{100},
    milliseconds{250},
    milliseconds{500},
    milliseconds{1000}};

double faded(double value, duration age, duration memory) noexcept
{
    const std::chrono::duration<double> passed = age;
    const std::chrono::duration<double> scale = memory;
    return value * std::exp(-std::max(0.0, passed / scale));
}

} // namespace

void replica_health::ended() noexcept
{
    if (in_flight_ > 0)
        --in_flight_;
    if (in_flight_ == 0)
        silent_ = {};
}

void replica_health::on_sent(time_point now) noexcept
{
    ++in_flight_;
    if (silent_ == time_point{})
        silent_ = now;
}

void replica_health::on_answered(
    duration took, duration usual, time_point now) noexcept
{
    ended();
    if (in_flight_ > 0)
        silent_ = now;
    unreachable_streak_ = 0;
    retry_at_ = {};
    failures_ = failure_share(now) * (1 - outcome_gain);
    sheds_ = shed_share(now) * (1 - outcome_gain);
    outcomes_at_ = now;
    if (usual <= duration::zero())
        return;
    const double ratio = std::min(
        most_slowness,
        std::chrono::duration<double>(took) /
            std::chrono::duration<double>(usual));
    slowness_ = slowness(now) * (1 - slowness_gain) + ratio * slowness_gain;
    slowness_at_ = now;
}

void replica_health::on_failed(time_point now) noexcept
{
    ended();
    sheds_ = shed_share(now);
    failures_ = failure_share(now) * (1 - outcome_gain) + outcome_gain;
    outcomes_at_ = now;
}

void replica_health::on_shed(time_point now) noexcept
{
    ended();
    failures_ = failure_share(now);
    sheds_ = shed_share(now) * (1 - outcome_gain) + outcome_gain;
    outcomes_at_ = now;
}

void replica_health::on_unreachable(time_point now) noexcept
{
    ended();
    const auto step =
        std::min<std::size_t>(unreachable_streak_, reconnect_waits.size() - 1);
    retry_at_ = now + reconnect_waits.at(step);
    ++unreachable_streak_;
}

void replica_health::on_cancelled() noexcept
{
    ended();
}

void replica_health::on_hedge_won(
    duration waited, duration usual, time_point now) noexcept
{
    if (usual <= duration::zero())
        return;
    const double ratio = std::min(
        most_slowness,
        std::chrono::duration<double>(waited) /
            std::chrono::duration<double>(usual));
    slowness_ = std::max(
        slowness(now),
        slowness(now) * (1 - slowness_gain) + ratio * slowness_gain);
    slowness_at_ = now;
}

void replica_health::on_load(reported_load load, time_point now) noexcept
{
    const double told = load.running + load.waiting;
    others_ = std::max(0.0, told - in_flight_);
    others_at_ = now;
    told_ = load.running + load.waiting;
}

double replica_health::slowness(time_point now) const noexcept
{
    return 1 + faded(slowness_ - 1, now - slowness_at_, slowness_memory);
}

double replica_health::failure_share(time_point now) const noexcept
{
    return faded(failures_, now - outcomes_at_, outcome_memory);
}

double replica_health::shed_share(time_point now) const noexcept
{
    return faded(sheds_, now - outcomes_at_, outcome_memory);
}

double replica_health::others_load(time_point now) const noexcept
{
    return faded(others_, now - others_at_, load_memory);
}

} // namespace peridotward
