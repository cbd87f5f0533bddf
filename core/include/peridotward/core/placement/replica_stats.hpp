#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/placement/latency_sketch.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <vector>

namespace peridotward {

/// \brief What this instance has seen of one upstream.
struct replica_state
{
    std::uint32_t in_flight = 0;    ///< Attempts of this instance.
    std::uint16_t error_streak = 0; ///< Failures since the last answer.
    std::uint16_t shed_streak = 0;  ///< Sheds since the last answer.
    std::uint16_t overtaken = 0;    ///< Hedges won since the last answer.
    time_point full_seen{};         ///< When its owner had no free slot.
    upstream_phase phase = upstream_phase::unknown;
    time_point phase_seen{};
    duration latency{}; ///< Moving average of answers.
    time_point latency_seen{};
    time_point avoid_until{}; ///< End of the pause after failures.
};

/// \brief What this instance has seen of the shard that a service serves.
struct shard_latency
{
    latency_sketch recent;
    duration typical{};     ///< Median, refreshed every few answers.
    duration hedge_after{}; ///< Quantile for hedging, refreshed likewise.
    duration least{};       ///< Latency that nearly all answers exceed.
    std::uint32_t until_refresh = 0;
};

/// \brief Keeps own observations of upstreams and shards.
///
/// \remarks Indices are those of the bundle given to `rebase` last. Memory is
/// bounded by the bundle; an observation allocates nothing.
class replica_stats
{
public:
    /// \brief Share of answers that arrive before a hedge is sent.
    static constexpr double hedge_quantile = 0.96;
    /// \brief Answers that a shard needs before its quantiles are used.
    static constexpr std::uint32_t enough_answers = 8;

    /// \brief Keeps what is known under the indices of `next`; upstreams and
    /// services are matched by id.
    void rebase(const bundle* before, const bundle& next);

    /// \brief Notes an attempt handed over to an upstream or its owner.
    void on_sent(upstream_index upstream) noexcept;

    /// \brief Notes the end of an attempt.
    void on_ended(
        upstream_index upstream,
        service_index service,
        const attempt_result& ended,
        time_point now) noexcept;

    /// \brief Notes a report that came without an attempt. Own failures keep
    /// their weight whatever it says.
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
    void note_latency(
        replica_state& replica,
        shard_latency& shard,
        duration elapsed,
        time_point now) noexcept;

    std::vector<replica_state> replicas_;
    std::vector<shard_latency> shards_;
};

} // namespace peridotward
