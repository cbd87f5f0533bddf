#pragma once

#include "search_bundles.hpp"

#include <peridotward/core/placement/adaptive_selector.hpp>
#include <peridotward/core/query/query.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotward::query_test {

/// Runs queries under generated events and checks them against a simple model
/// of the expected state. Violations are collected as texts.
class query_fuzz_harness
{
public:
    static constexpr std::uint64_t keys = 60;

    explicit query_fuzz_harness(std::uint64_t seed);

    // Commands; an index is taken modulo the number of existing objects.
    void start_query(std::uint32_t deadline_ms, bool latency_first);
    void answer(std::uint32_t attempt_index);
    void fail(std::uint32_t attempt_index, attempt_outcome outcome);
    /// Answers an attempt twice.
    void answer_twice(std::uint32_t attempt_index);
    /// Reports the answer to an attempt to another query.
    void
    misroute_answer(std::uint32_t attempt_index, std::uint32_t query_index);
    void change_snapshots(std::uint32_t upstream, std::uint32_t step);
    void change_phase(std::uint32_t upstream, upstream_phase phase);
    void repartition();
    /// Puts one upstream in the admin state "out", all others in "in".
    void remove_upstream(std::uint32_t upstream);
    void set_queries_waiting(bool waiting);
    void cancel(std::uint32_t query_index);
    void advance_time(duration step);

    /// Ends all queries and checks that no attempt is left open.
    void finish();

    std::vector<std::string> violations;
    std::uint64_t replans = 0;
    std::uint64_t extra_attempts = 0;

private:
    /// Expected state of one query.
    struct tracked_query
    {
        std::unique_ptr<query> state;
        bundle_ptr planned; ///< The bundle that the query was planned with.
        std::array<snapshot_id, keys> merged{}; ///< 0 for a missing key.
        std::uint32_t epoch = 0;                ///< Number of replans.
        bool may_have_sent = false;
        bool finished = false;
    };

    struct open_attempt
    {
        attempt sent;
        std::size_t query = 0;
        std::uint32_t epoch = 0;
        bool hedge = false;
    };

    /// Query, epoch and part.
    using part_key = std::tuple<std::size_t, std::uint32_t, std::uint32_t>;

    struct replica
    {
        snapshot_range snapshots{1, 2};
        upstream_phase phase = upstream_phase::warm;
        upstream_phase reported_phase = upstream_phase::unknown;
        time_point reported_at{};
    };

    /// Calls `call` with a query policy for the bundle `planned`.
    template<class Call>
    void with_policy(const bundle_ptr& planned, Call call);
    void carry_out(std::size_t index, query_actions& actions);
    void record_send(std::size_t index, const attempt& sent);
    void deliver(open_attempt ended, attempt_outcome outcome, bool sent);
    void observe(
        const attempt& ended,
        const attempt_result& result,
        const bundle_ptr& planned);
    void merge(tracked_query& query, const attempt& ended);
    void check_finished(tracked_query& query);
    void check_budget();
    void put_in_force(std::shared_ptr<bundle> next);
    [[nodiscard]] std::optional<open_attempt>
    remove_open(std::uint32_t attempt_index);
    [[nodiscard]] const std::string&
    upstream_id(const bundle_ptr& planned, upstream_index index) const;
    void expect(bool holds, const std::string& what);

    time_point now_{std::chrono::hours{1}};
    const time_point started_ = now_;
    random_source random_;
    bundle_ptr in_force_;
    replica_stats stats_;
    snapshot_tracker snapshots_;
    hedge_limits limits_;
    hedge_budget budget_;
    std::map<std::string, replica> replicas_;
    std::vector<tracked_query> queries_;
    std::vector<open_attempt> open_;
    /// Attempts of each part that may have reached upstreams.
    std::map<part_key, std::uint32_t> sent_counts_;
    std::uint64_t last_id_ = 0;
};

} // namespace peridotward::query_test
