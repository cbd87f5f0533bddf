#pragma once

#include <peridotward/core/budgets/lease_controller.hpp>
#include <peridotward/core/budgets/upstream_budgets.hpp>
#include <peridotward/core/membership/membership.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace peridotward::fleet_test {

/// Size and limits of the bundle of a simulated fleet.
struct fleet_shape
{
    std::uint32_t instances = 7;
    std::uint32_t domains = 2;
    std::uint32_t services = 4;
    std::uint32_t replicas = 3; ///< Of each service.
    std::uint32_t slots = 3;
    std::uint32_t domain_limit = 0; ///< Requests in flight; 0 for no limit.
    milliseconds cold_ramp{1000};
};

/// Returns version 1 of a bundle of the given shape.
[[nodiscard]] bundle make_bundle(const fleet_shape& shape);

/// How instances decide whether they may send a request to an upstream.
enum class send_rule : std::uint8_t
{
    leases,          ///< With the production controllers.
    static_shares,   ///< Each live member may use an equal share, at least one.
    no_coordination, ///< Each instance uses the whole limit.
};

/// Faults and delays of the connections between instances.
struct link_faults
{
    double loss = 0;        ///< Share of lost messages.
    double duplication = 0; ///< Share of messages delivered twice.
    duration delay = microseconds{1500};
    duration jitter = microseconds{500};
};

/// A violated limit and the time of the violation.
struct violation
{
    std::string text;
    duration at{};
};

/// Counters of one run.
struct run_counts
{
    std::uint64_t sent = 0;             ///< Requests to upstreams.
    std::uint64_t limit_violations = 0; ///< Including requests after a removal.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< See `message_bytes`.
};

/// Returns the size of a message on a connection: its fields in CBOR with short
/// member names, and a WebSocket header.
[[nodiscard]] std::size_t message_bytes(const peer_message& message);

/// The process of an instance: its controllers.
struct process
{
    process(member_update self, time_point local_start, std::uint64_t seed);

    membership members;
    lease_controller leases;
    upstream_budgets budgets;
    bundle_ptr in_force;
    std::vector<std::uint32_t> in_flight; ///< For the other send rules.
    std::vector<duration> accepted_at;    ///< Simulation time, by version.
};

/// Discrete-event simulation of a fleet: the processes of its instances, the
/// connections between them and the upstreams that they send requests to. The
/// upstreams count requests in flight and record violated limits.
class fleet_simulation
{
public:
    fleet_simulation(const fleet_shape& shape, std::uint64_t seed);

    void run_for(duration span);

    // Faults.
    void kill(const std::string& instance_id);
    void start(const std::string& instance_id);
    void pause(const std::string& instance_id, duration span);
    /// Partitions the network; instance i is on the side given by bit i.
    void split(std::uint32_t mask);
    void heal() { split(0); }
    void make_cold(upstream_index upstream);
    void leave(const std::string& instance_id);
    /// Publishes a newer bundle; instances read it after a random delay of up
    /// to `lag`, and with a lag above 1 s one in five reads it 10 s later.
    void publish(const std::function<void(bundle&)>& change, duration lag);

    /// \returns Why the fleet has not recovered, or an empty string.
    [[nodiscard]] std::string recovery_problem() const;
    [[nodiscard]] std::uint32_t holders_of(upstream_index upstream) const;
    [[nodiscard]] process* find(const std::string& instance_id);
    [[nodiscard]] const bundle& published() const { return *published_; }
    [[nodiscard]] duration now() const { return now_; }
    [[nodiscard]] std::vector<std::string> instances() const;

    link_faults links;
    send_rule rule = send_rule::leases;
    double load = 1.0;   ///< Probability that an instance sends when it could.
    double stuck = 0.05; ///< Share of requests that time out.
    run_counts counts;
    std::vector<violation> violations;

private:
    /// The machine of one instance, with its own clock.
    struct simulated_machine
    {
        std::unique_ptr<process> running;
        std::uint64_t generation = 0; ///< Incremented by each start and stop.
        double rate = 1.0;            ///< Rate of the local clock.
        duration offset{};
        duration paused_until{};
    };
    struct upstream_state
    {
        std::uint32_t in_flight = 0;
        bool cold = false;
        bool cold_reported = false; ///< An answer has reported the cold start.
        duration warm_at{};
    };
    struct request_plan
    {
        duration processing_time{};
        duration budget{};
        bool cold_known = false; ///< Whether `cold_reported` was set when sent.
    };
    struct event
    {
        duration at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(duration when, std::function<void()> action);
    /// Runs `action` on the process at `when` or at the end of its pause,
    /// unless the process of this generation was stopped.
    void run_on_process(
        const std::string& instance_id,
        std::uint64_t generation,
        duration when,
        std::function<void(process&, time_point)> action);
    /// \returns The time of the machine's own clock.
    [[nodiscard]] time_point local(const simulated_machine& machine) const;
    void send_all(const std::string& from, std::vector<outgoing_message>& out);
    void deliver(const std::string& from, outgoing_message message);
    void run_timers(const std::string& instance_id, std::uint64_t generation);
    void
    generate_load(const std::string& instance_id, std::uint64_t generation);
    void try_send(
        const std::string& instance_id, process& sender, upstream_index target);
    void on_arrival(
        const std::string& instance_id,
        upstream_index upstream,
        const budget_grant& granted,
        const request_plan& plan);
    [[nodiscard]] tl::expected<budget_grant, budget_refusal>
    try_acquire(process& sender, upstream_index upstream, time_point now);
    void read_bundle(
        const std::string& instance_id,
        std::uint64_t generation,
        duration when,
        const bundle_ptr& newer);
    void apply_bundle(const std::string& instance_id, const bundle_ptr& newer);
    void check_removal(const process& sender, upstream_index upstream);
    void add_violation(const std::string& text);

    fleet_shape shape_;
    random_source random_;
    duration now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::map<std::string, simulated_machine> machines_;
    std::map<std::string, std::uint32_t> side_of_;
    bundle_ptr published_;
    std::vector<bundle_ptr> versions_; ///< By version.
    std::vector<upstream_state> upstreams_;
    std::vector<std::uint32_t> domain_in_flight_;
};

} // namespace peridotward::fleet_test
