#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle_types.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <array>
#include <cstdint>

namespace peridotward {

/// \brief What the holder of an upstream believes that it bears.
enum class warmup_phase : std::uint8_t
{
    unproven, ///< Newly held; grows with each answer that is warm and fast.
    cold,     ///< Bears its cold slots only.
    ramping,  ///< On the way from cold to full slots.
    warm,     ///< Bears its full slots.
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

/// \brief Finds from answers how much one upstream bears.
///
/// \remarks Cuts to the cold slots at once on the upstream's own mark, on a
/// shed request, on three timeouts or three slow answers in a row. Grows by
/// what was borne at the present limit, over the service's ramp at least. An
/// upstream that keeps its cold mark but answers fast for two ramps is taken
/// as warm.
class warmup_tracker
{
public:
    /// \brief Starts anew, as for an upstream of which nothing is known.
    void reset(const service& limits, time_point now) noexcept;

    /// \brief Cuts to the cold slots.
    void reset_to_cold(time_point now) noexcept;

    /// \brief Takes in the end of one request.
    /// \param usual The service's usual time of an answer; 0 for unknown.
    void on_answer(
        const service& limits,
        attempt_outcome outcome,
        upstream_phase marked,
        duration elapsed,
        duration usual,
        time_point now) noexcept;

    /// \brief Takes in a mark that came without an answer.
    void on_reported_phase(upstream_phase marked, time_point now) noexcept;

    /// \returns Requests at once that the upstream bears.
    [[nodiscard]] std::uint32_t limit(const service& limits) const noexcept;

    [[nodiscard]] warmup_phase phase() const noexcept { return phase_; }

private:
    void on_borne(
        const service& limits, upstream_phase marked, time_point now) noexcept;
    void step_up(const service& limits, time_point now) noexcept;

    warmup_phase phase_ = warmup_phase::unproven;
    std::uint32_t limit_ = 1;
    std::uint32_t borne_ = 0; ///< Answers at the present limit.
    std::uint8_t slow_ = 0;   ///< Slow answers in a row.
    std::uint8_t timeouts_ = 0;
    bool doubted_ = false; ///< Whether a cold mark is taken as wrong.
    time_point cold_since_;
    time_point last_step_;
};

} // namespace peridotward
