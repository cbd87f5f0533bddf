#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle_types.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <array>
#include <cstdint>

namespace peridotward {

/// \brief Warm-up state of an upstream, as estimated by its holder.
enum class warmup_phase : std::uint8_t
{
    unproven, ///< Newly held; the limit grows with warm, fast answers.
    cold,     ///< Limited to its cold slots.
    ramping,  ///< The limit grows from cold to full slots.
    warm,     ///< Full slots available.
};

template<>
struct name_table<warmup_phase>
{
    static constexpr std::array entries{
        std::pair{warmup_phase::unproven, std::string_view{"unproven"}},
        std::pair{warmup_phase::cold, std::string_view{"cold"}},
        std::pair{warmup_phase::ramping, std::string_view{"ramping"}},
        std::pair{warmup_phase::warm, std::string_view{"warm"}},
    };
};

/// \brief Estimates from answers how many concurrent requests one upstream
/// handles.
///
/// \remarks Reduces the limit to the cold slots immediately when the upstream
/// reports a cold start, on a shed request, on three timeouts or on three
/// consecutive slow answers. Raises the limit as answers at the current limit
/// are fast, over at least the service's ramp time. An upstream that still
/// reports a cold start after two ramp times of fast answers counts as warm.
class warmup_tracker
{
public:
    /// \brief Restarts the estimate, as for an unknown upstream.
    void reset(const service& upstream_service, time_point now) noexcept;

    /// \brief Reduces the limit to the cold slots.
    void reset_to_cold(time_point now) noexcept;

    /// \brief Updates the estimate at the end of one request.
    /// \param reported Phase that the upstream reported with the answer.
    /// \param typical_latency Mean latency of the service; 0 if unknown.
    void on_answer(
        const service& upstream_service,
        attempt_outcome outcome,
        upstream_phase reported,
        duration elapsed,
        duration typical_latency,
        time_point now) noexcept;

    /// \brief Updates the estimate from a phase reported without an answer.
    void on_reported_phase(upstream_phase reported, time_point now) noexcept;

    /// \returns How many concurrent requests the upstream handles.
    [[nodiscard]] std::uint32_t
    limit(const service& upstream_service) const noexcept;

    [[nodiscard]] warmup_phase phase() const noexcept { return phase_; }

private:
    void on_fast_answer(
        const service& upstream_service,
        upstream_phase reported,
        time_point now) noexcept;
    void step_up(const service& upstream_service, time_point now) noexcept;

    warmup_phase phase_ = warmup_phase::unproven;
    std::uint32_t limit_ = 1;
    std::uint32_t answers_at_limit_ = 0; ///< Answers at the current limit.
    std::uint8_t slow_streak_ = 0;       ///< Consecutive slow answers.
    std::uint8_t timeout_streak_ = 0;
    bool ignores_cold_report_ = false;
    time_point cold_since_;
    time_point last_step_;
};

} // namespace peridotward
