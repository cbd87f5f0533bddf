#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace peridotward::query_test {

/// How the simulated entry instances decide.
enum class decision_kind : std::uint8_t
{
    random_only, ///< Random replicas, retries, no hedges.
    fixed_hedge, ///< Random replicas, hedges after a fixed delay, no budget.
    adaptive,
};

/// What happens to the simulated upstreams.
enum class scenario : std::uint8_t
{
    healthy,
    straggler,    ///< 1 in 100 answers takes 20 times as long.
    replica_lost, ///< Replicas of five shards answer nothing any more.
    cold,         ///< Replicas of five shards turn cold for two seconds.
    overload,     ///< Twice the load that the upstreams bear.
    index_change, ///< Snapshots move on every half second.
};

struct simulation_options
{
    decision_kind decision = decision_kind::adaptive;
    scenario what = scenario::healthy;
    std::uint32_t shards = 25;
    std::uint32_t queries = 4000;
    double load = 0.4; ///< Share of what all slots together bear.
    std::uint64_t seed = 1;
};

struct simulation_report
{
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    double coverage = 0; ///< Mean over all queries, refused ones with 0.
    double extra = 0;    ///< Hedges and retries per first request.
    double goodput = 0;  ///< Complete answers, as a share of what slots bear.
    double refused = 0;  ///< Share of queries refused by admission.
    std::uint64_t over = 0; ///< Requests beyond what an upstream bears.
};

/// Runs queries of eight entry instances over shards with three replicas in
/// virtual time. Upstreams take no more than their slots: an attempt that
/// meets none comes back as `not_sent`, as from the upstream's owner.
[[nodiscard]] simulation_report simulate(const simulation_options& options);

} // namespace peridotward::query_test

namespace peridotward {

template<>
struct name_table<query_test::decision_kind>
{
    static constexpr std::array entries{
        std::pair{
            query_test::decision_kind::random_only, std::string_view{"random"}},
        std::pair{
            query_test::decision_kind::fixed_hedge,
            std::string_view{"fixed delay"}},
        std::pair{
            query_test::decision_kind::adaptive, std::string_view{"adaptive"}},
    };
};

template<>
struct name_table<query_test::scenario>
{
    static constexpr std::array entries{
        std::pair{query_test::scenario::healthy, std::string_view{"healthy"}},
        std::pair{
            query_test::scenario::straggler, std::string_view{"straggler"}},
        std::pair{
            query_test::scenario::replica_lost,
            std::string_view{"replica lost"}},
        std::pair{query_test::scenario::cold, std::string_view{"cold"}},
        std::pair{query_test::scenario::overload, std::string_view{"overload"}},
        std::pair{
            query_test::scenario::index_change,
            std::string_view{"index change"}},
    };
};

} // namespace peridotward
