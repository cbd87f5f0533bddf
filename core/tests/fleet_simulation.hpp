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

/// What a fleet's bundle is made of.
struct fleet_shape
{
    std::uint32_t instances = 7;
    std::uint32_t domains = 2;
    std::uint32_t services = 4;
    std::uint32_t replicas = 3; ///< Of each service.
    std::uint32_t slots = 3;
    std::uint32_t domain_limit = 0; ///< Requests at once; 0 for none.
    milliseconds cold_ramp{1000};
};

/// The first version of a bundle of that shape.
[[nodiscard]] bundle make_bundle(const fleet_shape& shape);

/// The rule by which instances decide whether they may send.
enum class send_rule : std::uint8_t
{
    leases,          ///< The product's controllers.
    static_shares,   ///< Each live member gets an equal part, at least one.
    no_coordination, ///< Each instance uses the whole limit.
};

/// What links between instances do to messages.
struct link_faults
{
    double loss = 0;
    double doubled = 0;
    duration delay = microseconds{1500};
    duration jitter = microseconds{500};
};

/// What broke a limit, and when.
struct violation
{
    std::string text;
    duration at{};
};

/// Counts of one run.
struct run_counts
{
    std::uint64_t sent = 0;             ///< Requests to upstreams.
    std::uint64_t limit_violations = 0; ///< Requests above a limit.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< See `message_bytes`.
};

/// Size of a message on a link: its fields as CBOR would hold them, with
/// short member names and a WebSocket header.
[[nodiscard]] std::size_t message_bytes(const peer_message& message);

/// One process: the controllers of an instance and its own clock.
struct process
{
    process(member_update self, time_point local_start, std::uint64_t seed);

    membership members;
    lease_controller leases;
    upstream_budgets budgets;
    bundle_ptr in_force;
    std::vector<std::uint32_t> in_flight; ///< For the other send rules.
    std::vector<duration> accepted_at;    ///< World time, by version.
};

/// Several processes joined by a queue of events in virtual time, and the
/// upstreams that they send to, whose ledgers decide.
class fleet_simulation
{
public:
    fleet_simulation(const fleet_shape& shape, std::uint64_t seed);

    void run_for(duration span);

    // Faults.
    void kill(const std::string& instance_id);
    void start(const std::string& instance_id);
    void pause(const std::string& instance_id, duration span);
    void split(std::uint32_t mask); ///< Bit by place: the part of each seat.
    void heal() { split(0); }
    void make_cold(upstream_index upstream);
    void leave(const std::string& instance_id);
    /// Publishes a newer bundle; instances read it after up to `lag`.
    void publish(const std::function<void(bundle&)>& change, duration lag);

    /// \returns Why the fleet has not recovered, or nothing.
    [[nodiscard]] std::string unrecovered() const;
    [[nodiscard]] std::uint32_t holders_of(upstream_index upstream) const;
    [[nodiscard]] process* find(const std::string& instance_id);
    [[nodiscard]] const bundle& published() const { return *published_; }
    [[nodiscard]] duration now() const { return now_; }
    [[nodiscard]] std::vector<std::string> instances() const;

    link_faults links;
    send_rule rule = send_rule::leases;
    double load = 1.0;   ///< Part of send chances that are used.
    double stuck = 0.05; ///< Part of requests that run to their deadline.
    run_counts counts;
    std::vector<violation> violations;

private:
    struct slot
    {
        std::unique_ptr<process> running;
        std::uint64_t life = 0; ///< Counts starts.
        double rate = 1.0;      ///< Of the local clock.
        duration offset{};
        duration paused_until{};
    };
    struct upstream_state
    {
        std::uint32_t in_flight = 0;
        bool cold = false;
        bool cold_told = false; ///< An answer with the mark was delivered.
        duration warm_at{};
    };
    struct request_plan
    {
        duration work{};
        duration budget{};
        bool cold_known = false; ///< When it was sent.
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

    void at(duration when, std::function<void()> action);
    /// Runs `action` on the process once it is awake, if it still lives.
    void on_process(
        const std::string& instance_id,
        std::uint64_t life,
        duration when,
        std::function<void(process&, time_point)> action);
    [[nodiscard]] time_point local(const slot& of) const;
    void carry(const std::string& from, std::vector<outgoing_message>& out);
    void deliver(const std::string& from, outgoing_message message);
    void wake(const std::string& instance_id, std::uint64_t life);
    void offer_load(const std::string& instance_id, std::uint64_t life);
    void offer(const std::string& instance_id, process& by, upstream_index to);
    void arrive(
        const std::string& instance_id,
        upstream_index upstream,
        const budget_grant& granted,
        const request_plan& plan);
    [[nodiscard]] tl::expected<budget_grant, budget_refusal>
    ask(process& by, upstream_index upstream, time_point now);
    void read_bundle(
        const std::string& instance_id,
        std::uint64_t life,
        duration when,
        const bundle_ptr& newer);
    void accept(const std::string& instance_id, const bundle_ptr& newer);
    void check_limits(const process& by, upstream_index upstream);
    void check_removal(const process& by, upstream_index upstream);
    void note(const std::string& text);

    fleet_shape shape_;
    random_source random_;
    duration now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::map<std::string, slot> slots_;
    std::map<std::string, std::uint32_t> part_of_;
    bundle_ptr published_;
    std::vector<bundle_ptr> versions_; ///< By version.
    std::vector<upstream_state> upstreams_;
    std::vector<std::uint32_t> domain_in_flight_;
};

} // namespace peridotward::fleet_test
