#include <peridotward/core/placement/warmup_tracker.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// An answer is slow from this multiple of the usual time on.
constexpr int slow_factor = 4;
/// Answers below this time are never slow.
constexpr duration always_fast = milliseconds{5};
constexpr std::uint8_t slow_before_cut = 3;
constexpr std::uint8_t timeouts_before_cut = 3;
/// A cold mark is doubted after this many ramps of fast answers.
constexpr int doubted_after_ramps = 2;

bool is_slow(duration elapsed, duration usual)
{
    if (usual == duration{} || elapsed < always_fast)
        return false;
    return elapsed > usual * slow_factor;
}

} // namespace

void warmup_tracker::reset(const service& limits, time_point now) noexcept
{
    *this = {};
    limit_ = std::min(limits.cold_slots, limits.slots);
    cold_since_ = now;
    last_step_ = now;
}

void warmup_tracker::reset_to_cold(time_point now) noexcept
{
    if (phase_ != warmup_phase::cold)
        cold_since_ = now;
    phase_ = warmup_phase::cold;
    last_step_ = now;
    borne_ = 0;
    slow_ = 0;
    timeouts_ = 0;
}

void warmup_tracker::on_reported_phase(
    upstream_phase marked, time_point now) noexcept
{
    const bool doubted = phase_ == warmup_phase::ramping && doubted_;
    if (marked == upstream_phase::cold && !doubted)
        reset_to_cold(now);
    if (marked == upstream_phase::warm)
        doubted_ = false;
}

void warmup_tracker::on_answer(
    const service& limits,
    attempt_outcome outcome,
    upstream_phase marked,
    duration elapsed,
    duration usual,
    time_point now) noexcept
{
    if (outcome == attempt_outcome::shed) {
        doubted_ = false;
        reset_to_cold(now);
        cold_since_ = now;
        return;
    }
    if (outcome == attempt_outcome::timed_out) {
        if (++timeouts_ >= timeouts_before_cut)
            reset_to_cold(now);
        return;
    }
    if (outcome != attempt_outcome::answered)
        return;
    timeouts_ = 0;
    slow_ = is_slow(elapsed, usual) ? slow_ + 1 : 0;
    if (slow_ >= slow_before_cut) {
        doubted_ = false;
        reset_to_cold(now);
        cold_since_ = now;
        return;
    }
    on_reported_phase(marked, now);
    if (slow_ == 0)
        on_borne(limits, marked, now);
}

void warmup_tracker::on_borne(
    const service& limits, upstream_phase marked, time_point now) noexcept
{
    ++borne_;
    const bool still_marked = marked == upstream_phase::cold;
    if (phase_ == warmup_phase::cold) {
        const auto wait =
            still_marked ? limits.cold_ramp * doubted_after_ramps : duration{};
        if (now - cold_since_ < wait)
            return;
        doubted_ = still_marked;
        phase_ = warmup_phase::ramping;
        limit_ = std::min(limits.cold_slots, limits.slots);
        last_step_ = now;
        borne_ = 0;
    }
    if (phase_ == warmup_phase::ramping)
        step_up(limits, now);
    else if (
        phase_ == warmup_phase::unproven && marked == upstream_phase::warm &&
        borne_ >= limit_) {
        limit_ = std::min(limit_ * 2, limits.slots);
        borne_ = 0;
        if (limit_ == limits.slots)
            phase_ = warmup_phase::warm;
    }
}

void warmup_tracker::step_up(const service& limits, time_point now) noexcept
{
    const auto cold = std::min(limits.cold_slots, limits.slots);
    const auto steps = limits.slots - cold;
    const bool due =
        steps == 0 ||
        (now - last_step_ >= limits.cold_ramp / steps && borne_ >= limit_);
    if (!due)
        return;
    limit_ = std::min(limit_ + 1, limits.slots);
    last_step_ = now;
    borne_ = 0;
    if (limit_ == limits.slots)
        phase_ = warmup_phase::warm;
}

std::uint32_t warmup_tracker::limit(const service& limits) const noexcept
{
    const auto cold = std::min(limits.cold_slots, limits.slots);
    switch (phase_) {
    case warmup_phase::cold:
        return cold;
    case warmup_phase::warm:
        return limits.slots;
    case warmup_phase::unproven:
    case warmup_phase::ramping:
        break;
    }
    return std::clamp(limit_, cold, limits.slots);
}

} // namespace peridotward
