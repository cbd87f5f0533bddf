#include "../tests/search_bundles.hpp"

#include <peridotward/core/placement/adaptive_selector.hpp>
#include <peridotward/core/query/query.hpp>

#include <benchmark/benchmark.h>

using namespace peridotward;
using namespace peridotward::query_test;

namespace {

constexpr milliseconds query_timeout{100};

/// Runs whole queries; all shards answer, in the order of the attempts.
void run_query(benchmark::State& state)
{
    const auto shards = static_cast<std::uint32_t>(state.range(0));
    const bundle_ptr in_force = make_search_bundle({shards, 3, 4, 100});
    replica_stats stats;
    stats.rebase(nullptr, *in_force);
    snapshot_tracker snapshots;
    hedge_budget budget;
    random_source random{1};
    time_point now{std::chrono::hours{1}};
    adaptive_selector replica{
        *in_force, *in_force, stats, snapshots, domain_index{0}, random};
    const adaptive_delay hedge{stats};
    const query_policy<adaptive_selector, adaptive_delay> policy{
        &replica, &hedge, &budget, &random};
    query_actions actions;
    std::vector<attempt> sent;
    std::uint64_t id = 0;
    for (auto _ : state) {
        query_start start;
        start.id = query_id{++id};
        start.in_force = in_force;
        start.search = search_index{0};
        start.snapshot = 1;
        start.deadline = now + query_timeout;
        query current{start};
        actions.clear();
        current.begin(policy, now, actions);
        sent.swap(actions.send);
        for (const auto& each : sent)
            stats.on_sent(each.upstream);
        for (const auto& each : sent) {
            attempt_result result;
            result.id = each.id;
            result.outcome = attempt_outcome::answered;
            result.sent = true;
            result.elapsed = microseconds{3000 + random.below(3000)};
            now += microseconds{1};
            stats.on_ended(
                each.upstream,
                in_force->at(each.upstream).service,
                result,
                now);
            actions.clear();
            current.on_result(result, policy, now, actions);
            benchmark::DoNotOptimize(current.next_wakeup());
        }
    }
    state.counters["per_answer"] = benchmark::Counter(
        static_cast<double>(state.iterations()) * shards,
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

BENCHMARK(run_query)->Arg(25)->Arg(280)->Arg(1000);

} // namespace

BENCHMARK_MAIN();
