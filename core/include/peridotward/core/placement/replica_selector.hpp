#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/core/budgets/cold_limit.hpp>
#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/core/routing/forward_config.hpp>

#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief Who else sends to the same upstreams.
struct fleet_view
{
    std::string self;                ///< Name of this instance.
    std::vector<std::string> others; ///< Names of all that may be running.
    /// Instances that callers are told of, which send most of the requests.
    std::uint32_t senders = 1;
    bool sends = true; ///< Whether this instance is one of them.
};

/// \brief Chooses the upstream for one request.
///
/// \remarks Takes the replica with the least expected time to its answer:
/// how slow it was lately, the work before the request, how long it has been
/// silent with requests open, and how often it fails. The own failure domain
/// wins among equals. Loads told by answers cover what other instances send.
class replica_selector
{
public:
    /// The way to another failure domain and back, in usual latencies.
    static constexpr double cross_domain_cost = 0.4;
    /// What a free slot in the own failure domain is worth, in usual latencies:
    /// the bytes that need not cross are priced. A queue is no better for being
    /// near.
    static constexpr double local_free_slot_bonus = 2;
    /// A replica that refuses may have a free slot after this time: some
    /// answers of one slot.
    static constexpr milliseconds full_wait{50};
    /// A service without replicas has one again after this time at the
    /// earliest: a replica's start and its publication.
    static constexpr milliseconds empty_wait{500};
    /// Weight of the newest request in a service's mean of usual latencies.
    static constexpr double mix_gain = 1.0 / 64;
    /// Factor on the expected time of a replica in a cold start.
    static constexpr double cold_factor = 2.0;
    /// Usual latencies that a failure costs: the work is done again.
    static constexpr double failure_cost = 8;
    /// The same for a refusal. Without a repeat left it loses the part, so it
    /// weighs more than the longest queue that replicas have been seen to keep
    /// (six requests for each slot).
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

    /// \brief Puts other bounds in force, for what is sent from now on.
    void bounds(cold_bounds changed) noexcept { cold_ = changed; }

    /// \param avoid Replicas that the request was sent to before.
    /// \param usual The usual time of this kind of request.
    /// \returns The replica, counted against its cold limit, or nothing when
    /// none may be used now.
    [[nodiscard]] std::optional<replica_number> choose(
        const forward_service& service,
        std::span<const replica_number> avoid,
        duration usual,
        const fleet_view& fleet,
        time_point now);

    /// \returns When a request to `service` has its next chance; a guess where
    /// that depends on replicas.
    [[nodiscard]] time_point earliest_retry(
        const forward_service& service,
        const fleet_view& fleet,
        time_point now) const;

    /// \param mix The usual time over all kinds of requests to the service,
    /// in usual times of this kind: what one queued request costs.
    /// \returns The expected time of the next request, in usual latencies.
    [[nodiscard]] double
    cost(const replica& candidate, duration usual, double mix, time_point now)
        const;

private:
    /// Takes the request into the mean of its service.
    [[nodiscard]] double mix_of(const std::string& service, duration usual);
    [[nodiscard]] bool take_cold(
        const replica& candidate,
        const forward_service& service,
        const fleet_view& fleet,
        time_point now);

    upstream_catalog* catalog_;
    cold_bounds cold_;
    std::string own_domain_;
    random_source* random_;
    std::unordered_map<replica_number, cold_window> cold_windows_;
    /// Mean usual time of the requests to each service, in seconds.
    std::unordered_map<std::string, double> mean_usual_;
};

} // namespace peridotward
