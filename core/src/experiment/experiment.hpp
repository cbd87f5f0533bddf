#pragma once

#include <peridotward/core/experiment/forward_experiment.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace peridotward {

/// When an experiment begins, in virtual time.
inline constexpr time_point experiment_start{std::chrono::hours{1}};
/// Pauses of a replica begin this far apart.
inline constexpr milliseconds pause_interval{3000};
/// The bound of repeats that experiments are held to: that of the users'
/// present deployments.
inline constexpr retry_bounds experiment_bounds{0.2, 56, seconds{10}};

/// A replica with slots, a queue and the pattern's fault.
struct simulated_replica
{
    std::uint32_t number = 0;
    bool faulty = false;
    std::uint32_t running = 0;
    std::vector<std::function<void()>> waiting;
    std::uint32_t arrivals = 0;
    duration pause_offset{};
};

struct simulated_instance
{
    simulated_instance(std::uint64_t seed, const std::string& domain)
        : random{seed},
          choice{catalog, cold_bounds{}, domain, random},
          repeats{experiment_bounds}
    {}

    random_source random;
    upstream_catalog catalog;
    replica_choice choice;
    retry_ledger repeats;
    fleet_view fleet;
    latency_profile profile;

    [[nodiscard]] forward_context context()
    {
        return {&catalog, &choice, &repeats, &fleet};
    }
};

struct simulated_search
{
    simulated_instance* owner;
    forwarded_request request;
    bool counted;
};

/// \brief One play of a pattern: instances, replicas and events in virtual
/// time.
class experiment
{
public:
    experiment(
        load_pattern pattern,
        const forward_policy& policy,
        std::uint64_t seed,
        const experiment_size& size);

    experiment_result run();

private:
    using search_ptr = std::shared_ptr<simulated_search>;

    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(time_point when, std::function<void()> action)
    {
        events_.push({when, order_++, std::move(action)});
    }
    void build_config();
    void build_instances(std::uint64_t seed);
    void arrive();
    void act(const search_ptr& search, forward_actions& actions);
    void send(const search_ptr& search, const forward_send& wanted);
    void
    reach(const search_ptr& search, std::uint32_t attempt, std::uint32_t to);
    void begin_work(
        const search_ptr& search,
        std::uint32_t attempt,
        simulated_replica& replica);
    void end_work(const search_ptr&, std::uint32_t attempt, simulated_replica&);
    void answer(
        const search_ptr& search,
        std::uint32_t attempt,
        forward_outcome outcome,
        told_load load);
    void finish(simulated_search& search, forward_end end);
    void note_repeat(std::uint32_t shard);
    [[nodiscard]] duration work_of(const simulated_replica& replica);
    [[nodiscard]] duration pause_left(const simulated_replica& replica) const;
    [[nodiscard]] bool faulty_now() const;
    [[nodiscard]] double rate() const;

    load_pattern pattern_;
    forward_policy policy_;
    experiment_size size_;
    random_source random_;
    forward_config_ptr config_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<simulated_replica> replicas_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::vector<time_point>> asked_;
    std::vector<std::vector<time_point>> repeated_;
    std::uint64_t order_ = 0;
    time_point now_ = experiment_start;
    experiment_result result_;
    double earned_ = 0;
};

} // namespace peridotward
