#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Load and fault pattern of a simulated deployment.
enum class load_pattern : std::uint8_t
{
    calm,         ///< No faults; only the normal spread of service times.
    pauses,       ///< Each replica pauses periodically.
    slow,         ///< A sixth of the replicas takes ten times as long.
    burst,        ///< Two and a half times the requests for a third of the run.
    shedding,     ///< Half of the replicas refuse most attempts; at least one
                  ///< replica of each shard does not.
    lost_answers, ///< A fifth of the replicas cuts some answers off.
    surge,        ///< A burst of `surge_factor` times the requests.
    slow_surge,   ///< The same while half of the replicas is slow.
    /// Replicas of different usual speeds pause, and a sixth of them, redrawn
    /// every 600 ms, takes two and a half times as long.
    changing_speeds,
};

template<>
struct name_table<load_pattern>
{
    static constexpr std::array entries{
        std::pair{load_pattern::calm, std::string_view{"calm"}},
        std::pair{load_pattern::pauses, std::string_view{"pauses"}},
        std::pair{load_pattern::slow, std::string_view{"slow"}},
        std::pair{load_pattern::burst, std::string_view{"burst"}},
        std::pair{load_pattern::shedding, std::string_view{"shedding"}},
        std::pair{load_pattern::lost_answers, std::string_view{"lost-answers"}},
        std::pair{load_pattern::surge, std::string_view{"surge"}},
        std::pair{load_pattern::slow_surge, std::string_view{"slow-surge"}},
        std::pair{
            load_pattern::changing_speeds, std::string_view{"changing-speeds"}},
    };
};

/// \brief Mechanisms of request forwarding that an experiment enables.
struct forward_features
{
    bool extra_attempts = true;  ///< Hedges and retries.
    bool load_feedback = true;   ///< Replicas selected by the reported load.
    bool partial_answers = true; ///< Timely answers without the slowest parts.
    bool load_shedding = true; ///< Refusals while the replicas are overloaded.
    bool reported_speeds = true; ///< Use of the speeds that replicas report.
    /// Attempts go to the replica that is the fastest by its true speed, queue
    /// and pause, which no instance can know.
    bool true_state = false;

    bool operator==(const forward_features&) const = default;
};

/// \brief A kind of requests, all of which need the same services.
struct request_kind
{
    std::int32_t priority = 0; ///< 0 is the most urgent.
    double requests_per_second = 180;
    milliseconds work{9};     ///< Mean service time of a part.
    milliseconds target{100}; ///< Target latency of a request.
    milliseconds timeout{600};
    double surge_factor = 1; ///< Of this kind alone, during a surge.
};

/// \brief Client accounts that share the requests of an experiment.
struct account_load
{
    std::uint32_t accounts = 0; ///< 0: requests have no account.
    std::uint32_t large = 0;    ///< Of these, accounts that send more.
    double large_factor = 13;   ///< Requests of a large account / small one.
    /// Rate of the last account, a small one, during a surge / its usual rate.
    double busy_factor = 1;
};

/// \brief Size and load of the simulated deployment.
struct experiment_size
{
    std::uint32_t instances = 8;
    /// Instances that get `busy_share` of the requests; 0: all get the same.
    std::uint32_t busy_instances = 0;
    double busy_share = 0.9;
    std::uint32_t shards = 10;
    std::uint32_t replicas = 3; ///< Per shard, one in each failure domain.
    std::uint32_t slots = 2;    ///< Per replica.
    std::uint32_t queue = 12;   ///< Waiting attempts per replica.
    double requests_per_second = 180;
    milliseconds work{9};     ///< Mean service time of a part.
    milliseconds target{100}; ///< Target latency of a request.
    milliseconds timeout{600};
    seconds length{30}; ///< Of the simulated time.
    double surge_factor = 4;
    /// How often callers that get no answer repeat the request, at once.
    std::uint32_t caller_repeats = 0;
    /// Replaces `requests_per_second`, `work`, `target`, `timeout` and
    /// `surge_factor`; empty for a single kind.
    std::vector<request_kind> kinds;
    account_load accounts;
};

/// \brief Counts of the requests that arrived in a part of an experiment.
struct phase_result
{
    std::uint32_t requests = 0;
    std::uint32_t in_time = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    duration slowest_refusal{};
    duration length{};

    /// \returns Requests a second that were answered in time.
    [[nodiscard]] double goodput() const noexcept
    {
        const std::chrono::duration<double> time = length;
        return time.count() > 0 ? in_time / time.count() : 0;
    }

    /// \returns The share of the requests that were not refused.
    [[nodiscard]] double admitted_share() const noexcept
    {
        return requests > 0 ? 1 - static_cast<double>(refused) / requests : 1;
    }

    /// \returns The share of the requests that were answered in time.
    [[nodiscard]] double in_time_share() const noexcept
    {
        return requests > 0 ? static_cast<double>(in_time) / requests : 1;
    }
};

/// \brief Counts and quality measures of one experiment.
struct experiment_result
{
    std::uint32_t requests = 0;
    std::uint32_t in_time = 0; ///< Complete or partial.
    std::uint32_t partial = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::uint32_t arrivals = 0;       ///< Attempts that arrived at replicas.
    std::uint32_t rejected = 0;       ///< Arrivals that a replica refused.
    std::uint32_t extra_attempts = 0; ///< Hedges and retries.
    double max_excess = 0; ///< Largest excess of extra attempts over the
                           ///< bound, in any window; 0 for none.
    double mean_value = 0; ///< Mean value of a request to its caller, [0, 1].
    double busiest_ratio = 0; ///< Arrivals of the busiest replica / mean.
    phase_result fault;       ///< From 2 s after the fault's start to its end.
    phase_result recovery;    ///< From 1 s after the end of the fault.
    phase_result onset;       ///< The first 2 s of the fault.
    std::vector<phase_result> fault_by_kind;    ///< As `fault`.
    std::vector<phase_result> onset_by_kind;    ///< As `onset`.
    std::vector<phase_result> fault_by_account; ///< As `fault`.
    /// Largest and smallest number of admitted requests in 250 ms of `fault`,
    /// relative to the mean.
    double max_admitted = 0;
    double min_admitted = 0;
    /// From arrival to answer, sorted; a request without an answer counts with
    /// its timeout.
    std::vector<duration> latencies;
    std::uint64_t parts = 0;         ///< Of all answers.
    std::uint64_t omitted_parts = 0; ///< Of these, left out.

    /// \returns The `share` quantile of the latencies, `share` in [0, 1].
    [[nodiscard]] duration latency(double share) const;
    /// \returns Share of the parts that answers left out.
    [[nodiscard]] double omitted_share() const noexcept
    {
        return parts > 0 ? static_cast<double>(omitted_parts) /
                               static_cast<double>(parts)
                         : 0;
    }
    /// \returns Extra attempts for each first attempt.
    [[nodiscard]] double extra_share() const noexcept
    {
        return arrivals > extra_attempts
                   ? extra_attempts /
                         static_cast<double>(arrivals - extra_attempts)
                   : 0;
    }
};

/// \brief Simulates `pattern` in virtual time with the modules for routing,
/// placement, budgets and gathering that the gateway uses.
///
/// \remarks Deterministic for a seed. An answer in time has the square of the
/// fraction of its answered parts as value, a late answer a tenth of that.
[[nodiscard]] experiment_result run_forward_experiment(
    load_pattern pattern,
    const forward_features& features,
    std::uint64_t seed,
    const experiment_size& size = {});

/// \returns The deployment that `load_pattern::changing_speeds` is about:
/// searches over 90 shards at `instances` instances, of which at most six get
/// most of the searches.
[[nodiscard]] experiment_size uneven_deployment(std::uint32_t instances);

} // namespace peridotward
