#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/placement/latency_sketch.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <vector>

namespace peridotward {

/// \brief This instance's observations of one upstream.
struct replica_state
{
    std::uint32_t in_flight = 0;     ///< Attempts of this instance.
    std::uint16_t error_streak = 0;  ///< Failures since the last answer.
    std::uint16_t shed_streak = 0;   ///< Sheds since the last answer.
    std::uint16_t lost_to_hedge = 0; ///< Hedges won since the last answer.
    time_point no_free_slot_at{};    ///< When its owner reported no free slot.
    upstream_phase phase = upstream_phase::unknown;
    time_point phase_at{};
    duration latency{}; ///< Moving average of answers.
    time_point latency_at{};
    time_point avoid_until{}; ///< End of the pause after failures.
};

/// \brief This instance's latency statistics of the shard of one service.
struct shard_latency
{
    latency_sketch recent;
    duration typical{};     ///< Median, refreshed every few answers.
    duration hedge_after{}; ///< Quantile for hedging, refreshed likewise.
    duration least{};       ///< Latency that nearly all answers exceed.
    std::uint32_t until_refresh = 0;
};

/// \brief This instance's observations of all upstreams and shards.
///
/// \remarks Indices are those of the bundle last passed to `rebase`. Memory is
/// bounded by the bundle; recording an observation does not allocate.
class replica_stats
{
public:
    /// \brief Share of answers that arrive before a hedge is sent.
    static constexpr double hedge_quantile = 0.96;
    /// \brief Number of answers from a shard before its quantiles are used.
    static constexpr std::uint32_t enough_answers = 8;

    /// \brief Moves the observations to the indices of `next`; upstreams and
    /// services are matched by id.
    void rebase(const bundle* previous, const bundle& next);

    /// \brief Records an attempt sent to an upstream or its owner.
    void on_sent(upstream_index upstream) noexcept;

    /// \brief Records the end of an attempt.
    void on_ended(
        upstream_index upstream,
        service_index service,
        const attempt_result& attempt,
        time_point now) noexcept;

    /// \brief Records a report that came without an attempt. It does not reset
    /// failures that this instance observed itself.
    void on_report(
        upstream_index upstream,
        const upstream_report& report,
        time_point now) noexcept;

    [[nodiscard]] const replica_state& at(upstream_index upstream) const
    {
        return replicas_[upstream.position()];
    }
    [[nodiscard]] const shard_latency& at(service_index service) const
    {
        return shards_[service.position()];
    }

private:
    void record_latency(
        replica_state& replica,
        shard_latency& shard,
        duration elapsed,
        time_point now) noexcept;

    std::vector<replica_state> replicas_;
    std::vector<shard_latency> shards_;
};

} // namespace peridotward
