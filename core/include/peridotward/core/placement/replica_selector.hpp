#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/core/budgets/cold_limit.hpp>
#include <peridotward/core/budgets/rate_share.hpp>
#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/core/routing/forward_config.hpp>

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief The instances that share the upstreams with this one.
struct fleet_view
{
    std::string self;                ///< Name of this instance.
    std::vector<std::string> others; ///< Names of others that may be running.
    /// `sender_weight` of each of the others; those missing have weight 1.
    std::vector<std::uint32_t> other_weights;
    /// Names of running instances that shut down; may include `self`.
    std::vector<std::string> leaving;
    /// Instances published to callers, which send most of the requests.
    std::uint32_t senders = 1;
    bool sends = true; ///< Whether this instance is one of the senders.
    std::uint64_t revision = 0; ///< Differs when `others` differ.
    /// `sender_weight` of this instance, and the sum of all instances'.
    std::uint32_t weight = 1;
    std::uint32_t total_weight = 1;
};

/// \brief Replicas that get no request now, by the reason.
struct unusable_replicas
{
    std::uint32_t excluded = 0;    ///< Draining, leaving, or domain excluded.
    std::uint32_t paused = 0;      ///< Asked to get no requests for a while.
    std::uint32_t unreachable = 0; ///< Connections fail.
    /// This instance's share of the rate that they take is used up.
    std::uint32_t rate_limited = 0;
};

/// \brief Selects the replica for one request.
///
/// \remarks Selects the replica with the lowest expected latency, computed from
/// its recent slowness, the requests queued there, the time without an answer
/// while requests are in flight, and its rates of failures and refusals. Among
/// equals, replicas of the own failure domain are preferred. Loads reported
/// with answers account for the requests of other instances. Costs are in
/// multiples of the typical latency of the request.
class replica_selector
{
public:
    /// Round trip to another failure domain, in typical latencies.
    static constexpr double cross_domain_cost = 0.4;
    /// Value of a free slot in the own failure domain, in typical latencies:
    /// bytes that cross failure domains are billed. A local replica with a
    /// queue gets no bonus.
    static constexpr double local_free_slot_bonus = 2;
    /// Time after which a replica that refuses may have a free slot: some
    /// answers of one slot.
    static constexpr milliseconds no_free_slot_wait{50};
    /// Minimum time after which a service without replicas has one again: the
    /// start of a replica and its publication.
    static constexpr milliseconds no_replica_wait{500};
    /// Weight of the newest request in a service's mean of typical latencies.
    static constexpr double typical_latency_gain = 1.0 / 64;
    /// Factor on the expected latency of a replica in a cold start.
    static constexpr double cold_factor = 2.0;
    /// Cost of a failure, in typical latencies: the request is executed again.
    static constexpr double failure_cost = 8;
    /// Cost of a refusal, in typical latencies. When no retry remains a refusal
    /// loses the part, so it costs more than the longest queue observed at
    /// replicas (six requests for each slot).
    static constexpr double refusal_cost = 20;

    replica_selector(
        upstream_catalog& catalog,
        cold_bounds cold,
        std::string own_domain,
        random_source& random)
        : catalog_{&catalog},
          cold_{cold},
          own_domain_{std::move(own_domain)},
          random_{&random}
    {}

    /// \brief Replaces the cold-start limits for the requests sent from now on.
    void bounds(cold_bounds new_bounds) noexcept { cold_ = new_bounds; }

    /// \param avoid Replicas that the request was already sent to.
    /// \param typical_latency Typical latency of this kind of request.
    /// \returns The replica, counted against its cold-start and rate limits, or
    /// nothing when none may be used now.
    [[nodiscard]] std::optional<replica_number> choose(
        const forward_service& service,
        std::span<const replica_number> avoid,
        duration typical_latency,
        const fleet_view& fleet,
        time_point now);

    /// \brief Undoes the count of a request that was chosen at `chosen_at` and
    /// not sent, so that another one may be sent instead.
    void release(replica_number number, time_point chosen_at) noexcept;

    /// \returns This instance's share of the rate limit that the replica names,
    /// in requests within `rate_share::window`.
    [[nodiscard]] std::uint32_t
    share_of_rate(const replica& candidate, const fleet_view& fleet) const;

    /// \returns By replica: the use of its rate limit, also of ended ones.
    [[nodiscard]] auto& rate_shares() noexcept { return rate_shares_; }

    /// \returns When a request to `service` may next be served; an estimate
    /// where that depends on replicas.
    [[nodiscard]] time_point earliest_retry(
        const forward_service& service,
        const fleet_view& fleet,
        time_point now) const;

    /// \returns The replicas of `service` that get no request now.
    [[nodiscard]] unusable_replicas count_unusable(
        const forward_service& service,
        const fleet_view& fleet,
        time_point now) const;

    /// \param typical_latency Typical latency of this kind of request.
    /// \param queued_request_cost Mean cost of a queued request: the typical
    /// latency over all kinds of requests to the service, as a multiple of
    /// `typical_latency`.
    /// \returns The expected latency of the next request, in typical latencies.
    [[nodiscard]] double cost(
        const replica& candidate,
        duration typical_latency,
        double queued_request_cost,
        time_point now) const;

private:
    /// A share, and what it was computed from: ranking a large fleet for each
    /// request would cost more than the rest of the choice.
    struct known_share
    {
        double per_second;
        std::uint64_t fleet_revision;
        std::uint32_t share;
    };

    /// Adds the request to the mean of its service; returns the cost of a
    /// queued request.
    [[nodiscard]] double update_queued_request_cost(
        const std::string& service, duration typical_latency);
    [[nodiscard]] bool is_share_used_up(
        const replica& candidate,
        const fleet_view& fleet,
        time_point now) const;
    [[nodiscard]] bool try_acquire_rate(
        const replica& candidate, const fleet_view& fleet, time_point now);
    [[nodiscard]] bool try_acquire(
        const replica& candidate,
        const forward_service& service,
        const fleet_view& fleet,
        time_point now);
    [[nodiscard]] bool try_acquire_cold(
        const replica& candidate,
        const forward_service& service,
        const fleet_view& fleet,
        time_point now);

    upstream_catalog* catalog_;
    cold_bounds cold_;
    std::string own_domain_;
    random_source* random_;
    std::unordered_map<replica_number, cold_window> cold_windows_;
    std::unordered_map<replica_number, rate_share> rate_shares_;
    mutable std::unordered_map<replica_number, known_share> known_shares_;
    /// By service: mean of the typical latencies of its requests, in seconds.
    std::unordered_map<std::string, double> mean_typical_latency_;
};

} // namespace peridotward
