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

/// Queries under generated events, beside a plain model of what is true.
class query_fuzz_world
{
public:
    static constexpr std::uint64_t keys = 60;

    explicit query_fuzz_world(std::uint64_t seed);

    // Commands; numbers are taken modulo what there is.
    void start_query(std::uint32_t deadline_ms, bool latency_first);
    void answer(std::uint32_t which);
    void fail(std::uint32_t which, attempt_outcome outcome);
    void doubled(std::uint32_t which);
    void crossed(std::uint32_t which, std::uint32_t other);
    void change_snapshots(std::uint32_t upstream, std::uint32_t by);
    void change_phase(std::uint32_t upstream, upstream_phase phase);
    void repartition();
    void take_out(std::uint32_t upstream);
    void wait_queue(bool waiting);
    void cancel(std::uint32_t which);
    void pass(duration step);

    /// Ends everything and checks that nothing is left.
    void finish();

    std::vector<std::string> violations;
    std::uint64_t replans = 0;
    std::uint64_t extras = 0;

private:
    /// What the model knows of one query.
    struct tracked
    {
        std::unique_ptr<query> state;
        bundle_ptr planned;
        std::array<snapshot_id, keys> merged{}; ///< 0 for a missing key.
        std::uint32_t epoch = 0;                ///< Plans before this one.
        bool may_have_sent = false;
        bool closed = false;
    };

    struct flying
    {
        attempt sent;
        std::size_t query = 0;
        std::uint32_t epoch = 0;
        bool hedge = false;
    };

    /// Attempts of one part of one plan that reached upstreams.
    using part_key = std::tuple<std::size_t, std::uint32_t, std::uint32_t>;

    struct replica
    {
        snapshot_range snapshots{1, 2};
        upstream_phase phase = upstream_phase::warm;
        upstream_phase told = upstream_phase::unknown;
        time_point told_at{};
    };

    template<class Work>
    void decide(const bundle_ptr& planned, Work work);
    void carry_out(std::size_t index, query_actions& actions);
    void note_send(std::size_t index, const attempt& sent);
    void deliver(flying ended, attempt_outcome outcome, bool sent);
    void observe(
        const attempt& ended,
        const attempt_result& result,
        const bundle_ptr& planned);
    void merge(tracked& query, const attempt& ended);
    void check_closed(tracked& query);
    void check_budget();
    void put_in_force(std::shared_ptr<bundle> next);
    [[nodiscard]] std::optional<flying> take(std::uint32_t which);
    [[nodiscard]] const std::string&
    name_of_replica(const bundle_ptr& planned, upstream_index index) const;
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
    std::vector<tracked> queries_;
    std::vector<flying> flying_;
    std::map<part_key, std::uint32_t> reached_;
    std::uint64_t last_id_ = 0;
};

} // namespace peridotward::query_test
