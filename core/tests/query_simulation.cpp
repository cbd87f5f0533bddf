#include "query_simulation.hpp"
#include "search_bundles.hpp"

#include <peridotward/core/admission/admission_queue.hpp>
#include <peridotward/core/placement/adaptive_selector.hpp>
#include <peridotward/core/placement/random_selector.hpp>
#include <peridotward/core/query/query.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace peridotward::query_test {

namespace {

constexpr std::uint32_t instance_count = 8;
constexpr std::uint32_t slots = 4;
constexpr std::uint32_t cold_slots = 1;
constexpr double service_ms = 4;
/// Mean of the distribution in `service_time`.
constexpr double mean_service_ms = 3.96;
constexpr double straggler_share = 0.01;
constexpr double straggler_factor = 20;
constexpr double cold_factor = 3;
constexpr std::uint32_t faulty_shards = 5;
constexpr seconds cold_time{2};
constexpr milliseconds network_delay{1}; // in each direction
constexpr milliseconds query_timeout{1000};
constexpr milliseconds fixed_hedge_after{10};
constexpr milliseconds index_interval{500};
constexpr seconds poll_interval{1};
constexpr std::uint32_t max_waiting = 256;
/// The first queries, one in this many, do not count in the latencies.
constexpr std::uint32_t warm_up_divisor = 10;

duration from_ms(double ms)
{
    return duration{static_cast<duration::rep>(ms * 1e6)};
}

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>{span}.count();
}

struct instance
{
    explicit instance(decision_kind decision, std::uint64_t seed)
        : budget{decision == decision_kind::adaptive ? hedge_limits{} : unlimited_hedges},
          random{seed}
    {}

    replica_stats stats;
    snapshot_tracker snapshots;
    hedge_budget budget;
    admission_queue admission{max_waiting};
    random_source random;
};

struct replica
{
    std::uint32_t in_flight = 0;
    bool lost = false;
    upstream_phase phase = upstream_phase::warm;
    snapshot_range snapshots{1, 2};

    [[nodiscard]] std::uint32_t current_slots() const noexcept
    {
        return phase == upstream_phase::cold ? cold_slots : slots;
    }
};

struct open_attempt
{
    std::uint32_t replica = 0;
    bool holds_slot = false;
    time_point sent_at;
};

struct running_query
{
    std::uint32_t instance = 0;
    time_point arrived;
    time_point started;
    std::unique_ptr<query> state;
};

class simulation
{
public:
    explicit simulation(const simulation_options& options);
    simulation_report run();

private:
    using task = std::function<void()>;

    void at(time_point due, task action)
    {
        events_.emplace(due, std::move(action));
    }
    /// Calls `call` with the query policy of an instance.
    template<class Call>
    void with_policy(instance& owner, Call call);
    void schedule_arrivals();
    void schedule_faults();
    void schedule_polls(time_point until);
    void shift_snapshots();
    void arrive(std::uint64_t id);
    void carry_out_admissions(std::uint32_t instance_index);
    void begin(std::uint64_t id);
    void carry_out(std::uint64_t id, query_actions& actions);
    void send(std::uint64_t id, const attempt& sent);
    void receive(const attempt& received, std::uint64_t key);
    void reply(const attempt& ended, attempt_outcome outcome, bool sent);
    void on_reply(const attempt& ended, attempt_outcome outcome, bool sent);
    void cancel(attempt_id id);
    void release(open_attempt& held);
    void finish(std::uint64_t id);
    [[nodiscard]] duration service_time(const replica& at);

    simulation_options options_;
    bundle_ptr bundle_;
    std::vector<instance> instances_;
    std::vector<replica> replicas_;
    std::multimap<time_point, task> events_;
    std::unordered_map<std::uint64_t, running_query> queries_;
    std::unordered_map<std::uint64_t, open_attempt> attempts_; ///< By id.
    admission_actions admissions_;
    random_source random_;
    time_point now_{std::chrono::hours{1}};
    time_point start_ = now_;
    time_point end_;
    std::vector<double> latencies_;
    double coverage_ = 0;
    std::uint64_t complete_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t over_ = 0;
    std::uint64_t first_attempts_ = 0;
    std::uint64_t sent_attempts_ = 0;
};

simulation::simulation(const simulation_options& options)
    : options_{options},
      bundle_{make_search_bundle({options.shards, 3, slots, 100})},
      replicas_(bundle_->upstreams.size()),
      random_{options.seed}
{
    for (std::uint32_t i = 0; i < instance_count; ++i) {
        auto& added =
            instances_.emplace_back(options.decision, options.seed * 100 + i);
        added.stats.rebase(nullptr, *bundle_);
        for (std::uint32_t u = 0; u < replicas_.size(); ++u)
            added.snapshots.observe(
                upstream_index{u}, replicas_[u].snapshots, now_);
    }
}

template<class Call>
void simulation::with_policy(instance& owner, Call call)
{
    if (options_.decision == decision_kind::adaptive) {
        const auto domain =
            static_cast<std::uint32_t>(&owner - instances_.data()) % 3;
        adaptive_selector selector{
            *bundle_,
            *bundle_,
            owner.stats,
            owner.snapshots,
            domain_index{domain},
            owner.random};
        const adaptive_delay hedge{owner.stats};
        call(query_policy<adaptive_selector, adaptive_delay>{
            &selector, &hedge, &owner.budget, &owner.random});
        return;
    }
    random_selector selector{*bundle_, owner.random};
    if (options_.decision == decision_kind::fixed_hedge) {
        const fixed_delay hedge{fixed_hedge_after};
        call(query_policy<random_selector, fixed_delay>{
            &selector, &hedge, &owner.budget, &owner.random});
        return;
    }
    const no_hedge hedge;
    call(query_policy<random_selector, no_hedge>{
        &selector, &hedge, &owner.budget, &owner.random});
}

void simulation::schedule_arrivals()
{
    const double load =
        options_.fault == scenario::overload ? 2.0 : options_.load;
    const double per_ms = 3 * slots / mean_service_ms * load;
    auto due = now_;
    for (std::uint64_t id = 1; id <= options_.queries; ++id) {
        due += from_ms(-std::log(1.0 - random_.unit()) / per_ms);
        at(due, [this, id] { arrive(id); });
    }
    end_ = due;
}

void simulation::schedule_faults()
{
    const auto quarter = start_ + (end_ - start_) / 4;
    const auto each_faulty = [this](auto change) {
        for (std::uint32_t s = 0; s < faulty_shards; ++s)
            change(replicas_[s * 3]);
    };
    if (options_.fault == scenario::replica_lost)
        at(quarter, [each_faulty] {
            each_faulty([](replica& faulty) { faulty.lost = true; });
        });
    if (options_.fault == scenario::cold) {
        at(quarter, [each_faulty] {
            each_faulty(
                [](replica& faulty) { faulty.phase = upstream_phase::cold; });
        });
        at(quarter + cold_time, [each_faulty] {
            each_faulty(
                [](replica& faulty) { faulty.phase = upstream_phase::warm; });
        });
    }
    if (options_.fault == scenario::index_change) {
        for (auto due = quarter; due < end_; due += index_interval)
            at(due, [this] { shift_snapshots(); });
    }
}

void simulation::schedule_polls(time_point until)
{
    for (auto due = start_; due < until; due += poll_interval) {
        at(due, [this] {
            for (auto& each : instances_) {
                for (std::uint32_t u = 0; u < replicas_.size(); ++u)
                    each.snapshots.observe(
                        upstream_index{u}, replicas_[u].snapshots, now_);
            }
        });
    }
}

/// Advances each replica to its next snapshot after a random delay.
void simulation::shift_snapshots()
{
    for (auto& each : replicas_) {
        const duration wait = microseconds{random_.below(200000)};
        at(now_ + wait, [&each] {
            ++each.snapshots.oldest;
            ++each.snapshots.newest;
        });
    }
}

duration simulation::service_time(const replica& at)
{
    const double spread = -std::log(1.0 - random_.unit());
    double ms = service_ms * (0.5 + 0.5 * std::min(spread, 4.0));
    if (options_.fault == scenario::straggler &&
        random_.unit() < straggler_share)
        ms = service_ms * straggler_factor;
    return from_ms(at.phase == upstream_phase::cold ? ms * cold_factor : ms);
}

void simulation::arrive(std::uint64_t id)
{
    const auto instance_index = static_cast<std::uint32_t>(id % instance_count);
    auto& owner = instances_[instance_index];
    queries_.emplace(id, running_query{instance_index, now_, now_, nullptr});
    const admission_request request{
        id, caller_priority::normal, now_, now_ + query_timeout};
    if (options_.decision == decision_kind::adaptive)
        owner.admission.arrive(request, now_, admissions_);
    else
        admissions_.start.push_back(id);
    carry_out_admissions(instance_index);
}

void simulation::carry_out_admissions(std::uint32_t instance_index)
{
    while (!admissions_.start.empty() || !admissions_.refuse.empty()) {
        const auto decided = std::exchange(admissions_, {});
        for (const auto& refusal : decided.refuse) {
            queries_.erase(refusal.id);
            ++refused_;
        }
        for (const auto id : decided.start)
            begin(id);
    }
    auto& owner = instances_[instance_index];
    owner.budget.set_queries_waiting(owner.admission.waiting() > 0);
}

void simulation::begin(std::uint64_t id)
{
    auto& current = queries_.at(id);
    auto& owner = instances_[current.instance];
    current.started = now_;
    query_start start;
    start.id = query_id{id};
    start.in_force = bundle_;
    start.search = search_index{0};
    start.snapshot =
        owner.snapshots.choose(*bundle_, search_index{0}).value_or(1);
    start.deadline = current.arrived + query_timeout;
    current.state = std::make_unique<query>(start);
    query_actions actions;
    with_policy(owner, [&](auto policy) {
        current.state->begin(policy, now_, actions);
    });
    carry_out(id, actions);
}

void simulation::carry_out(std::uint64_t id, query_actions& actions)
{
    auto& current = queries_.at(id);
    auto& owner = instances_[current.instance];
    if (actions.snapshot_lost && !actions.finished) {
        const auto newer = owner.snapshots.choose(*bundle_, search_index{0});
        with_policy(owner, [&](auto policy) {
            if (newer)
                (void)current.state->replan(*newer, policy, now_, actions);
        });
    }
    for (const auto& sent : actions.send)
        send(id, sent);
    for (const auto cancelled : actions.cancel)
        at(now_ + network_delay, [this, cancelled] { cancel(cancelled); });
    if (actions.finished) {
        finish(id);
        return;
    }
    at(current.state->next_wakeup(), [this, id] {
        const auto found = queries_.find(id);
        if (found == queries_.end() || !found->second.state ||
            found->second.state->next_wakeup() > now_)
            return;
        query_actions next;
        with_policy(instances_[found->second.instance], [&](auto policy) {
            found->second.state->on_timeout(policy, now_, next);
        });
        carry_out(id, next);
    });
}

void simulation::send(std::uint64_t id, const attempt& sent)
{
    auto& owner = instances_[queries_.at(id).instance];
    owner.stats.on_sent(sent.upstream);
    const auto key = static_cast<std::uint64_t>(sent.id);
    attempts_[key] = {sent.upstream.value, false, now_};
    at(now_ + network_delay, [this, sent, key] { receive(sent, key); });
}

void simulation::receive(const attempt& received, std::uint64_t key)
{
    auto& held = attempts_.at(key);
    auto& target = replicas_[held.replica];
    if (target.in_flight >= target.current_slots()) {
        reply(received, attempt_outcome::not_sent, false);
        return;
    }
    ++target.in_flight;
    held.holds_slot = true;
    over_ += target.in_flight > slots ? 1 : 0;
    if (target.lost) {
        at(received.deadline, [this, received, key] {
            const auto found = attempts_.find(key);
            if (found == attempts_.end() || !found->second.holds_slot)
                return;
            release(found->second);
            reply(received, attempt_outcome::timed_out, true);
        });
        return;
    }
    if (!target.snapshots.contains(received.snapshot)) {
        release(held);
        reply(received, attempt_outcome::wrong_snapshot, true);
        return;
    }
    at(now_ + service_time(target), [this, received, key] {
        const auto found = attempts_.find(key);
        if (found == attempts_.end() || !found->second.holds_slot)
            return;
        release(found->second);
        reply(received, attempt_outcome::answered, true);
    });
}

void simulation::release(open_attempt& held)
{
    held.holds_slot = false;
    --replicas_[held.replica].in_flight;
}

void simulation::cancel(attempt_id id)
{
    const auto found = attempts_.find(static_cast<std::uint64_t>(id));
    if (found == attempts_.end() || !found->second.holds_slot)
        return;
    release(found->second);
    attempt ended;
    ended.id = id;
    ended.query = query_id{static_cast<std::uint64_t>(id) >> 16U};
    ended.upstream = upstream_index{found->second.replica};
    reply(ended, attempt_outcome::cancelled, true);
}

void simulation::reply(const attempt& ended, attempt_outcome outcome, bool sent)
{
    at(now_ + network_delay,
       [this, ended, outcome, sent] { on_reply(ended, outcome, sent); });
}

void simulation::on_reply(
    const attempt& ended, attempt_outcome outcome, bool sent)
{
    const auto held = attempts_.extract(static_cast<std::uint64_t>(ended.id));
    const auto& target = replicas_[ended.upstream.position()];
    const auto id = static_cast<std::uint64_t>(ended.query);
    auto& owner = instances_[id % instance_count];
    attempt_result result;
    result.id = ended.id;
    result.outcome = outcome;
    result.sent = sent;
    result.elapsed = now_ - held.mapped().sent_at;
    if (!target.lost)
        result.report = {target.phase, target.in_flight, target.snapshots};
    result.free_slots = target.current_slots() -
                        std::min(target.current_slots(), target.in_flight);
    owner.snapshots.observe(ended.upstream, result.report.snapshots, now_);
    owner.stats.on_ended(
        ended.upstream, bundle_->at(ended.upstream).service, result, now_);
    owner.budget.on_ended(outcome);
    sent_attempts_ += sent ? 1 : 0;
    const auto found = queries_.find(id);
    if (found == queries_.end())
        return;
    query_actions actions;
    with_policy(owner, [&](auto policy) {
        (void)found->second.state->on_result(result, policy, now_, actions);
    });
    carry_out(id, actions);
}

void simulation::finish(std::uint64_t id)
{
    const auto finished = std::move(queries_.extract(id).mapped());
    if (id > options_.queries / warm_up_divisor)
        latencies_.push_back(to_ms(now_ - finished.arrived));
    const auto covered = finished.state->coverage();
    coverage_ += covered;
    complete_ += covered >= 1 - 1e-9 && now_ <= end_ ? 1 : 0;
    first_attempts_ += finished.state->plan().parts.size();
    auto& owner = instances_[finished.instance];
    if (options_.decision != decision_kind::adaptive)
        return;
    owner.admission.on_finished(
        finished.started, finished.state->stalled_share(), now_, admissions_);
    const auto instance_index = finished.instance;
    at(now_, [this, instance_index] { carry_out_admissions(instance_index); });
}

simulation_report simulation::run()
{
    schedule_arrivals();
    schedule_faults();
    schedule_polls(end_);
    while (!events_.empty()) {
        auto next = events_.extract(events_.begin());
        now_ = next.key();
        next.mapped()();
    }
    std::sort(latencies_.begin(), latencies_.end());
    const auto percentile = [&](double fraction) {
        if (latencies_.empty())
            return 0.0;
        const auto last = static_cast<double>(latencies_.size() - 1);
        return latencies_[static_cast<std::size_t>(fraction * last)];
    };
    simulation_report report;
    report.p50_ms = percentile(0.5);
    report.p99_ms = percentile(0.99);
    report.p999_ms = percentile(0.999);
    report.coverage = coverage_ / options_.queries;
    report.extra =
        first_attempts_ == 0
            ? 0
            : static_cast<double>(sent_attempts_) / first_attempts_ - 1.0;
    report.goodput =
        complete_ / to_ms(end_ - start_) / (3 * slots / mean_service_ms);
    report.refused = static_cast<double>(refused_) / options_.queries;
    report.over = over_;
    return report;
}

} // namespace

simulation_report simulate(const simulation_options& options)
{
    return simulation{options}.run();
}

} // namespace peridotward::query_test
