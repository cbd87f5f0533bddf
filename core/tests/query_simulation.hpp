#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace peridotward::query_test {

/// Policy by which the simulated instances select replicas and hedge.
enum class decision_kind : std::uint8_t
{
    random_only, ///< Random replicas, retries, no hedges.
    fixed_hedge, ///< Random replicas, hedges after a fixed delay, no budget.
    adaptive,    ///< The policies of the product, with budget and admission.
};

/// Load or fault of the simulated upstreams.
enum class scenario : std::uint8_t
{
    healthy,
    straggler,    ///< 1 in 100 answers takes 20 times as long.
    replica_lost, ///< One replica of each of five shards stops answering.
    cold,         ///< One replica of each of five shards is cold for 2 seconds.
    overload,     ///< Twice the load that the upstreams can handle.
    index_change, ///< The snapshots advance every half second.
};

struct simulation_options
{
    decision_kind decision = decision_kind::adaptive;
    scenario fault = scenario::healthy;
    std::uint32_t shards = 25;
    std::uint32_t queries = 4000;
    double load = 0.4; ///< Fraction of the capacity of all slots.
    std::uint64_t seed = 1;
};

struct simulation_report
{
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    double coverage = 0; ///< Mean over all queries; 0 for refused ones.
    double extra = 0;    ///< Hedges and retries per first attempt.
    double goodput = 0;  ///< Complete answers, as a fraction of the capacity.
    double refused = 0;  ///< Fraction of queries refused by admission.
    std::uint64_t over = 0; ///< Attempts beyond the slots of an upstream.
};

/// Simulates queries of eight instances over shards with three replicas each,
/// in virtual time. An upstream never handles more attempts than it has slots:
/// an attempt that finds no free slot ends as `not_sent`, as if reported by the
/// instance that owns the upstream.
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
