#include "allocation_counter.hpp"
#include "search_bundles.hpp"

#include <peridotward/core/placement/adaptive_selector.hpp>
#include <peridotward/core/query/query.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::query_test;

namespace {

/// Counts how often a query selects a replica.
struct counting_replica
{
    adaptive_selector* inner;
    std::uint64_t* selections;

    [[nodiscard]] std::optional<upstream_index>
    choose(const selection_criteria& wish)
    {
        ++*selections;
        return inner->choose(wish);
    }
};

struct query_cost
{
    std::uint64_t answer_allocations = 0;
    std::uint64_t selections = 0;
    std::uint64_t attempts = 0;
};

/// Runs queries to completion; every twentieth part is answered only after
/// its hedge was sent.
query_cost run_queries(std::uint32_t shards, std::uint32_t queries)
{
    const bundle_ptr in_force = make_search_bundle({shards, 3, 4, 100});
    replica_stats stats;
    stats.rebase(nullptr, *in_force);
    const snapshot_tracker snapshots;
    hedge_budget budget;
    random_source random{1};
    time_point now{std::chrono::hours{1}};
    query_cost cost;
    adaptive_selector replica{
        *in_force, *in_force, stats, snapshots, domain_index{0}, random};
    counting_replica counting{&replica, &cost.selections};
    const adaptive_delay hedge{stats};
    const query_policy<counting_replica, adaptive_delay> policy{
        &counting, &hedge, &budget, &random};
    query_actions actions;
    actions.send.reserve(2 * shards);
    actions.cancel.reserve(shards);
    for (std::uint32_t i = 1; i <= queries; ++i) {
        query_start start;
        start.id = query_id{i};
        start.in_force = in_force;
        start.search = search_index{0};
        start.snapshot = 1;
        start.deadline = now + seconds{1};
        query current{start};
        actions.clear();
        current.begin(policy, now, actions);
        std::vector<attempt> sent = actions.send;
        sent.reserve(2 * shards);
        const auto before = allocations();
        const auto answer = [&](const attempt& each) {
            attempt_result result;
            result.id = each.id;
            result.outcome = attempt_outcome::answered;
            result.sent = true;
            result.elapsed = milliseconds{4};
            stats.on_ended(
                each.upstream,
                in_force->at(each.upstream).service,
                result,
                now);
            (void)current.on_result(result, policy, now, actions);
        };
        for (std::size_t k = 0; k < sent.size(); ++k) {
            if (k % 20 != 19)
                answer(sent[k]);
        }
        now += milliseconds{100};
        actions.clear();
        current.on_timeout(policy, now, actions);
        for (const auto& each : actions.send)
            sent.push_back(each);
        for (std::size_t k = 19; k < shards; k += 20)
            answer(sent[k]);
        cost.answer_allocations += allocations() - before;
        cost.attempts += current.attempts();
        REQUIRE(current.finished());
    }
    return cost;
}

} // namespace

TEST_CASE("query cost - handling answers and hedges does not allocate")
{
    for (const std::uint32_t shards : {25U, 280U, 1000U}) {
        const auto cost = run_queries(shards, 10);
        CHECK(cost.answer_allocations == 0);
        CHECK(cost.attempts >= 10ULL * shards);
    }
}

TEST_CASE("query cost - replica selections grow linearly with the shards")
{
    const auto few = run_queries(100, 10);
    const auto many = run_queries(1000, 10);
    // One selection for each part, each hedge, and each hedge that the budget
    // does not allow.
    CHECK(many.selections <= few.selections * 10 * 11 / 10);
}
