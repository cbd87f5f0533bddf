#include <peridotward/core/placement/warmup_tracker.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// An answer is slow above this multiple of the typical latency.
constexpr int slow_factor = 4;
/// Answers faster than this are never slow.
constexpr duration min_slow_latency = milliseconds{5};
constexpr std::uint8_t slow_streak_limit = 3;
constexpr std::uint8_t timeout_streak_limit = 3;
/// Time since the start of the cold phase, in ramp times of the service, after
/// which a fast answer starts the ramp although it still reports a cold start.
constexpr int cold_report_limit_ramps = 2;

bool is_slow(duration elapsed, duration typical_latency)
{
    if (typical_latency == duration{} || elapsed < min_slow_latency)
        return false;
    return elapsed > typical_latency * slow_factor;
}

} // namespace

void warmup_tracker::reset(
    const service& upstream_service, time_point now) noexcept
{
    *this = {};
    limit_ = std::min(upstream_service.cold_slots, upstream_service.slots);
    cold_since_ = now;
    last_step_ = now;
}

void warmup_tracker::reset_to_cold(time_point now) noexcept
{
    if (phase_ != warmup_phase::cold)
        cold_since_ = now;
    phase_ = warmup_phase::cold;
    last_step_ = now;
    answers_at_limit_ = 0;
    slow_streak_ = 0;
    timeout_streak_ = 0;
}

void warmup_tracker::on_reported_phase(
    upstream_phase reported, time_point now) noexcept
{
    const bool ignored =
        phase_ == warmup_phase::ramping && ignores_cold_report_;
    if (reported == upstream_phase::cold && !ignored)
        reset_to_cold(now);
    if (reported == upstream_phase::warm)
        ignores_cold_report_ = false;
}

void warmup_tracker::on_answer(
    const service& upstream_service,
    attempt_outcome outcome,
    upstream_phase reported,
    duration elapsed,
    duration typical_latency,
    time_point now) noexcept
{
    if (outcome == attempt_outcome::shed) {
        ignores_cold_report_ = false;
        reset_to_cold(now);
        cold_since_ = now;
        return;
    }
    if (outcome == attempt_outcome::timed_out) {
        if (++timeout_streak_ >= timeout_streak_limit)
            reset_to_cold(now);
        return;
    }
    if (outcome != attempt_outcome::answered)
        return;
    timeout_streak_ = 0;
    slow_streak_ = is_slow(elapsed, typical_latency) ? slow_streak_ + 1 : 0;
    if (slow_streak_ >= slow_streak_limit) {
        ignores_cold_report_ = false;
        reset_to_cold(now);
        cold_since_ = now;
        return;
    }
    on_reported_phase(reported, now);
    if (slow_streak_ == 0)
        on_fast_answer(upstream_service, reported, now);
}

void warmup_tracker::on_fast_answer(
    const service& upstream_service,
    upstream_phase reported,
    time_point now) noexcept
{
    ++answers_at_limit_;
    const bool still_reports_cold = reported == upstream_phase::cold;
    if (phase_ == warmup_phase::cold) {
        const auto min_wait = still_reports_cold ? upstream_service.cold_ramp *
                                                       cold_report_limit_ramps
                                                 : duration{};
        if (now - cold_since_ < min_wait)
            return;
        ignores_cold_report_ = still_reports_cold;
        phase_ = warmup_phase::ramping;
        limit_ = std::min(upstream_service.cold_slots, upstream_service.slots);
        last_step_ = now;
        answers_at_limit_ = 0;
    }
    if (phase_ == warmup_phase::ramping)
        step_up(upstream_service, now);
    else if (
        phase_ == warmup_phase::unproven && reported == upstream_phase::warm &&
        answers_at_limit_ >= limit_) {
        limit_ = std::min(limit_ * 2, upstream_service.slots);
        answers_at_limit_ = 0;
        if (limit_ == upstream_service.slots)
            phase_ = warmup_phase::warm;
    }
}

void warmup_tracker::step_up(
    const service& upstream_service, time_point now) noexcept
{
    const auto cold =
        std::min(upstream_service.cold_slots, upstream_service.slots);
    const auto steps = upstream_service.slots - cold;
    const bool due =
        steps == 0 || (now - last_step_ >= upstream_service.cold_ramp / steps &&
                       answers_at_limit_ >= limit_);
    if (!due)
        return;
    limit_ = std::min(limit_ + 1, upstream_service.slots);
    last_step_ = now;
    answers_at_limit_ = 0;
    if (limit_ == upstream_service.slots)
        phase_ = warmup_phase::warm;
}

std::uint32_t
warmup_tracker::limit(const service& upstream_service) const noexcept
{
    const auto cold =
        std::min(upstream_service.cold_slots, upstream_service.slots);
    switch (phase_) {
    case warmup_phase::cold:
        return cold;
    case warmup_phase::warm:
        return upstream_service.slots;
    case warmup_phase::unproven:
    case warmup_phase::ramping:
        break;
    }
    return std::clamp(limit_, cold, upstream_service.slots);
}

} // namespace peridotward
