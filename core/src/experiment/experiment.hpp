#pragma once

#include <peridotward/core/admission/load_report_exchange.hpp>
#include <peridotward/core/experiment/forward_experiment.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>

#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace peridotward {

/// Start of an experiment in virtual time.
inline constexpr time_point experiment_start{std::chrono::hours{1}};
/// Time between the starts of two pauses of a replica.
inline constexpr milliseconds pause_interval{3000};
/// Bound on the extra attempts in an experiment: that of the users' current
/// deployments.
inline constexpr retry_bounds experiment_bounds{0.2, 56, seconds{10}};

/// A replica with slots and a queue; a faulty one shows the fault of the
/// pattern.
struct simulated_replica
{
    std::uint32_t number = 0;
    bool faulty = false;
    std::uint32_t running = 0;
    std::vector<std::function<void()>> waiting;
    std::uint32_t arrivals = 0;
    duration pause_offset{};
    double usual_slowness = 1;
    double momentary_slowness = 1;
};

struct simulated_instance
{
    simulated_instance(std::uint64_t seed, const std::string& domain)
        : random{seed},
          selector{catalog, cold_bounds{}, domain, random},
          budgets{experiment_bounds}
    {}

    random_source random;
    upstream_catalog catalog;
    replica_selector selector;
    retry_budgets budgets;
    load_shedders shedders;
    load_report_exchange load_exchange{shedders, random};
    bool sheds = true;
    fleet_view fleet;
    std::vector<latency_profile> profiles; ///< By kind of requests.

    [[nodiscard]] forward_context context()
    {
        return {
            &catalog, &selector, &budgets, &fleet, sheds ? &shedders : nullptr};
    }
};

struct simulated_request
{
    simulated_instance* owner;
    forwarded_request state;
    bool counted; ///< Arrived after the warm-up.
    std::uint32_t repeats_left = 0;
    time_point first_arrived{};
    std::size_t kind = 0;
    std::size_t account = 0;
    time_point wakeup{}; ///< The timeout that was scheduled last.
};

/// \brief Discrete-event simulation of one load pattern over instances and
/// replicas.
class experiment
{
public:
    experiment(
        load_pattern pattern,
        const forward_features& features,
        std::uint64_t seed,
        const experiment_size& size);

    experiment_result run();

private:
    using request_ptr = std::shared_ptr<simulated_request>;

    struct event
    {
        time_point at;
        std::uint64_t order; ///< Orders events with the same time.
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(time_point when, std::function<void()> action)
    {
        events_.push({when, next_order_++, std::move(action)});
    }
    void build_config();
    void build_instances(std::uint64_t seed);
    void arrive();
    /// \brief Schedules the request's next timeout.
    void wake_up(const request_ptr& request);
    void carry_out(const request_ptr& request, forward_actions& actions);
    void send(const request_ptr& request, const forward_send& sent);
    void receive(
        const request_ptr& request, std::uint32_t attempt, std::uint32_t to);
    void begin_work(
        const request_ptr& request,
        std::uint32_t attempt,
        simulated_replica& replica);
    void
    end_work(const request_ptr&, std::uint32_t attempt, simulated_replica&);
    void on_result(
        const request_ptr& request,
        std::uint32_t attempt,
        forward_outcome outcome,
        reported_load load);
    void begin(const request_ptr& request);
    /// \brief Redraws the replicas that are in a slow moment.
    void redraw_speeds();
    /// \brief Leaves the fastest replica of each part that has no answer as
    /// the only one that can be chosen, if instances know the true state.
    void reveal_state(const request_ptr& request);
    /// \returns Expected time to an answer of a request that is sent now.
    [[nodiscard]] duration true_latency(const simulated_replica& replica) const;
    /// \returns The speed in a replica's report; 0 for none.
    [[nodiscard]] std::uint32_t
    reported_speed(const simulated_replica& replica) const;
    [[nodiscard]] simulated_instance& draw_instance();
    /// \returns When work that begins now ends, pauses included.
    [[nodiscard]] time_point
    end_of_work(const simulated_replica& replica, duration work) const;
    /// \brief Has an instance pass load reports on, now and from then on.
    void exchange_loads(std::size_t instance);
    void finish(simulated_request& request, forward_end end);
    /// \returns Whether the caller sends the request again.
    bool repeat(const simulated_request& request);
    /// \returns The phase in which the request arrived, or null.
    [[nodiscard]] phase_result* phase_of(const simulated_request& request);
    /// \brief Counts the end of a request in a phase.
    void count(
        phase_result& phase,
        const simulated_request& request,
        forward_end end) const;
    [[nodiscard]] latency_profile& profile_of(const simulated_request& request)
    {
        return request.owner->profiles[request.kind];
    }
    void compute_admission_spread();
    void record_extra_attempt(std::uint32_t shard);
    [[nodiscard]] duration
    service_time(const simulated_replica& replica, std::size_t kind);
    [[nodiscard]] duration
    remaining_pause(const simulated_replica& replica) const;
    [[nodiscard]] bool is_fault_active() const;
    [[nodiscard]] double arrival_rate() const;
    /// \returns The rate of one kind without the busy account's excess.
    [[nodiscard]] double arrival_rate_of(const request_kind& kind) const;
    /// \returns The usual rate of an account relative to a small one.
    [[nodiscard]] double account_weight(std::size_t account) const noexcept;
    /// \returns The same at this time.
    [[nodiscard]] double
    current_account_weight(std::size_t account) const noexcept;
    [[nodiscard]] std::size_t draw_kind();
    [[nodiscard]] std::size_t draw_account();

    load_pattern pattern_;
    forward_features features_;
    experiment_size size_;
    random_source random_;
    forward_config_ptr config_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<simulated_replica> replicas_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::vector<time_point>> request_times_;       ///< By shard.
    std::vector<std::vector<time_point>> extra_attempt_times_; ///< By shard.
    std::uint64_t next_order_ = 0;
    time_point now_ = experiment_start;
    experiment_result result_;
    std::vector<std::uint32_t> admitted_; ///< By `admission_period` of `fault`.
    double total_value_ = 0;
};

} // namespace peridotward
