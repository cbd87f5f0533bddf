#include <peridotward/core/placement/replica_health.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace peridotward {

namespace {

/// Weight of the newest answer in the moving average.
constexpr double slowness_gain = 0.25;
/// Upper limit of one answer's latency, in typical latencies.
constexpr double max_slowness = 30;
/// Time constant with which the slowness of a replica without answers returns
/// to typical; short compared to the duration of a slow period, so that the
/// replica is chosen again and the end of the period is detected.
constexpr seconds slowness_time_constant{2};
/// Weight of the newest answer in the long-term slowness of a replica that
/// reports its speed: the mean of some 30 answers tells speeds of 0.8 and 1.0
/// apart, with a deviation of 0.25 in a single answer.
constexpr double usual_slowness_gain = 1.0 / 32;
/// Weight of the newest outcome in the shares of failures and refusals.
constexpr double outcome_gain = 0.15;
/// Time constant with which the shares of failures and refusals decay while no
/// outcome is recorded.
constexpr seconds outcome_time_constant{2};
/// Time constant with which a reported load decays; the load is outdated after
/// one or two service times.
constexpr milliseconds load_time_constant{60};
/// Delays before the next attempts to connect; the last one repeats.
constexpr std::array reconnect_delays{
    milliseconds{100},
    milliseconds{250},
    milliseconds{500},
    milliseconds{1000}};

double decayed(double value, duration age, duration time_constant) noexcept
{
    const std::chrono::duration<double> elapsed_time = age;
    const std::chrono::duration<double> time_constant_s = time_constant;
    return value * std::exp(-std::max(0.0, elapsed_time / time_constant_s));
}

} // namespace

void replica_health::end_request() noexcept
{
    if (in_flight_ > 0)
        --in_flight_;
    if (in_flight_ == 0)
        silent_since_ = {};
}

void replica_health::on_sent(time_point now) noexcept
{
    ++in_flight_;
    if (silent_since_ == time_point{})
        silent_since_ = now;
}

void replica_health::on_answered(
    duration latency, duration typical_latency, time_point now) noexcept
{
    end_request();
    if (in_flight_ > 0)
        silent_since_ = now;
    connect_failures_ = 0;
    reconnect_at_ = {};
    failure_share_ = failure_share(now) * (1 - outcome_gain);
    shed_share_ = shed_share(now) * (1 - outcome_gain);
    outcomes_at_ = now;
    if (typical_latency <= duration::zero())
        return;
    double ratio = std::min(
        max_slowness,
        std::chrono::duration<double>(latency) /
            std::chrono::duration<double>(typical_latency));
    if (speed_.reported()) {
        ratio /= speed_.change(now);
        usual_slowness_ += (ratio - usual_slowness_) * usual_slowness_gain;
    }
    slowness_ =
        measured_slowness(now) * (1 - slowness_gain) + ratio * slowness_gain;
    slowness_at_ = now;
}

void replica_health::on_failed(time_point now) noexcept
{
    end_request();
    shed_share_ = shed_share(now);
    failure_share_ = failure_share(now) * (1 - outcome_gain) + outcome_gain;
    outcomes_at_ = now;
}

void replica_health::on_shed(time_point now) noexcept
{
    end_request();
    failure_share_ = failure_share(now);
    shed_share_ = shed_share(now) * (1 - outcome_gain) + outcome_gain;
    outcomes_at_ = now;
}

void replica_health::on_unreachable(time_point now) noexcept
{
    end_request();
    const auto step =
        std::min<std::size_t>(connect_failures_, reconnect_delays.size() - 1);
    reconnect_at_ = now + reconnect_delays.at(step);
    ++connect_failures_;
}

void replica_health::on_cancelled() noexcept
{
    end_request();
}

void replica_health::on_hedge_won(
    duration elapsed, duration typical_latency, time_point now) noexcept
{
    if (typical_latency <= duration::zero())
        return;
    const double ratio = std::min(
        max_slowness,
        std::chrono::duration<double>(elapsed) /
            std::chrono::duration<double>(typical_latency));
    const double before = measured_slowness(now);
    slowness_ =
        std::max(before, before * (1 - slowness_gain) + ratio * slowness_gain);
    slowness_at_ = now;
}

void replica_health::on_load(reported_load load, time_point now) noexcept
{
    const double reported = load.running + load.waiting;
    load_of_other_instances_ = std::max(0.0, reported - in_flight_);
    load_reported_at_ = now;
    reported_requests_ = load.running + load.waiting;
    new_report_ = load;
    if (load.speed > 0)
        speed_.on_report(load.speed, now);
}

double replica_health::measured_slowness(time_point now) const noexcept
{
    return usual_slowness_ + decayed(
                                 slowness_ - usual_slowness_,
                                 now - slowness_at_,
                                 slowness_time_constant);
}

double replica_health::slowness(time_point now) const noexcept
{
    return measured_slowness(now) * speed_.change(now);
}

double replica_health::selection_slowness(time_point now) const noexcept
{
    return measured_slowness(now) * speed_.squared_change(now);
}

double replica_health::failure_share(time_point now) const noexcept
{
    return decayed(failure_share_, now - outcomes_at_, outcome_time_constant);
}

double replica_health::shed_share(time_point now) const noexcept
{
    return decayed(shed_share_, now - outcomes_at_, outcome_time_constant);
}

double replica_health::load_of_other_instances(time_point now) const noexcept
{
    return decayed(
        load_of_other_instances_, now - load_reported_at_, load_time_constant);
}

} // namespace peridotward
