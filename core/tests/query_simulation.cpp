#include "query_simulation.hpp"
#include "search_bundles.hpp"

#include <peridotward/core/admission/admission_lane.hpp>
#include <peridotward/core/placement/adaptive_replica.hpp>
#include <peridotward/core/placement/random_replica.hpp>
#include <peridotward/core/query/query.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace peridotward::query_test {

namespace {

constexpr std::uint32_t entry_count = 8;
constexpr std::uint32_t slots = 4;
constexpr std::uint32_t cold_slots = 1;
constexpr double service_ms = 4;
constexpr double mean_service_ms = 3.96; // of the distribution in service_time
constexpr double straggler_share = 0.01;
constexpr double straggler_factor = 20;
constexpr double cold_factor = 3;
constexpr std::uint32_t hurt_shards = 5;
constexpr seconds cold_time{2};
constexpr milliseconds hop{1};
constexpr milliseconds budget{1000};
constexpr milliseconds fixed_hedge_after{10};
constexpr milliseconds index_interval{500};
constexpr seconds poll_interval{1};
constexpr std::uint32_t most_waiting = 256;
constexpr std::uint32_t warm_up = 10; // one in this many is not measured

duration from_ms(double ms)
{
    return duration{static_cast<duration::rep>(ms * 1e6)};
}

double to_ms(duration span)
{
    return std::chrono::duration<double, std::milli>{span}.count();
}

struct entry
{
    explicit entry(decision_kind decision, std::uint64_t seed)
        : extras{decision == decision_kind::adaptive ? hedge_limits{} : unlimited_hedges},
          random{seed}
    {}

    replica_stats stats;
    snapshot_tracker snapshots;
    hedge_budget extras;
    admission_lane lane{most_waiting};
    random_source random;
};

struct replica
{
    std::uint32_t in_flight = 0;
    bool lost = false;
    upstream_phase phase = upstream_phase::warm;
    snapshot_range snapshots{1, 2};

    [[nodiscard]] std::uint32_t bears() const noexcept
    {
        return phase == upstream_phase::cold ? cold_slots : slots;
    }
};

struct flight
{
    std::uint32_t replica = 0;
    bool holds_slot = false;
    time_point sent_at;
};

struct running
{
    std::uint32_t entry = 0;
    time_point arrived;
    time_point started;
    std::unique_ptr<query> state;
};

class world
{
public:
    explicit world(const simulation_options& options);
    simulation_report run();

private:
    using task = std::function<void()>;

    void at(time_point due, task work)
    {
        events_.emplace(due, std::move(work));
    }
    template<class Work>
    void decide(entry& here, Work work);
    void schedule_arrivals();
    void schedule_faults();
    void schedule_polls(time_point until);
    void shift_snapshots();
    void arrive(std::uint64_t id);
    void carry_out_admissions(std::uint32_t at);
    void begin(std::uint64_t id);
    void carry_out(std::uint64_t id, query_actions& actions);
    void send(std::uint64_t id, const attempt& wanted);
    void receive(const attempt& wanted, std::uint64_t flight_key);
    void reply(const attempt& wanted, attempt_outcome outcome, bool sent);
    void on_reply(const attempt& wanted, attempt_outcome outcome, bool sent);
    void cancel(attempt_id id);
    void release(flight& held);
    void finish(std::uint64_t id);
    [[nodiscard]] duration service_time(const replica& at);

    simulation_options options_;
    bundle_ptr bundle_;
    std::vector<entry> entries_;
    std::vector<replica> replicas_;
    std::multimap<time_point, task> events_;
    std::unordered_map<std::uint64_t, running> queries_;
    std::unordered_map<std::uint64_t, flight> flights_;
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
    std::uint64_t first_ = 0;
    std::uint64_t extra_ = 0;
};

world::world(const simulation_options& options)
    : options_{options},
      bundle_{make_search_bundle({options.shards, 3, slots, 100})},
      replicas_(bundle_->upstreams.size()),
      random_{options.seed}
{
    for (std::uint32_t i = 0; i < entry_count; ++i) {
        auto& made =
            entries_.emplace_back(options.decision, options.seed * 100 + i);
        made.stats.rebase(nullptr, *bundle_);
        for (std::uint32_t u = 0; u < replicas_.size(); ++u)
            made.snapshots.observe(
                upstream_index{u}, replicas_[u].snapshots, now_);
    }
}

template<class Work>
void world::decide(entry& here, Work work)
{
    if (options_.decision == decision_kind::adaptive) {
        const auto own =
            static_cast<std::uint32_t>(&here - entries_.data()) % 3;
        adaptive_replica chosen{
            *bundle_,
            *bundle_,
            here.stats,
            here.snapshots,
            domain_index{own},
            here.random};
        const adaptive_delay hedge{here.stats};
        work(query_policy<adaptive_replica, adaptive_delay>{
            &chosen, &hedge, &here.extras, &here.random});
        return;
    }
    random_replica chosen{*bundle_, here.random};
    if (options_.decision == decision_kind::fixed_hedge) {
        const fixed_delay hedge{fixed_hedge_after};
        work(query_policy<random_replica, fixed_delay>{
            &chosen, &hedge, &here.extras, &here.random});
        return;
    }
    const no_hedge hedge;
    work(query_policy<random_replica, no_hedge>{
        &chosen, &hedge, &here.extras, &here.random});
}

void world::schedule_arrivals()
{
    const double load =
        options_.what == scenario::overload ? 2.0 : options_.load;
    const double per_ms = 3 * slots / mean_service_ms * load;
    auto due = now_;
    for (std::uint64_t id = 1; id <= options_.queries; ++id) {
        due += from_ms(-std::log(1.0 - random_.unit()) / per_ms);
        at(due, [this, id] { arrive(id); });
    }
    end_ = due;
}

void world::schedule_faults()
{
    const auto quarter = start_ + (end_ - start_) / 4;
    const auto each_hurt = [this](auto change) {
        for (std::uint32_t s = 0; s < hurt_shards; ++s)
            change(replicas_[s * 3]);
    };
    if (options_.what == scenario::replica_lost)
        at(quarter,
           [each_hurt] { each_hurt([](replica& hurt) { hurt.lost = true; }); });
    if (options_.what == scenario::cold) {
        at(quarter, [each_hurt] {
            each_hurt([](replica& hurt) { hurt.phase = upstream_phase::cold; });
        });
        at(quarter + cold_time, [each_hurt] {
            each_hurt([](replica& hurt) { hurt.phase = upstream_phase::warm; });
        });
    }
    if (options_.what == scenario::index_change) {
        for (auto due = quarter; due < end_; due += index_interval)
            at(due, [this] { shift_snapshots(); });
    }
}

void world::schedule_polls(time_point until)
{
    for (auto due = start_; due < until; due += poll_interval) {
        at(due, [this] {
            for (auto& each : entries_) {
                for (std::uint32_t u = 0; u < replicas_.size(); ++u)
                    each.snapshots.observe(
                        upstream_index{u}, replicas_[u].snapshots, now_);
            }
        });
    }
}

/// Every replica moves to the next snapshot at its own time.
void world::shift_snapshots()
{
    for (auto& each : replicas_) {
        const duration wait = microseconds{random_.below(200000)};
        at(now_ + wait, [&each] {
            ++each.snapshots.oldest;
            ++each.snapshots.newest;
        });
    }
}

duration world::service_time(const replica& at)
{
    const double spread = -std::log(1.0 - random_.unit());
    double ms = service_ms * (0.5 + 0.5 * std::min(spread, 4.0));
    if (options_.what == scenario::straggler &&
        random_.unit() < straggler_share)
        ms = service_ms * straggler_factor;
    return from_ms(at.phase == upstream_phase::cold ? ms * cold_factor : ms);
}

void world::arrive(std::uint64_t id)
{
    const auto place = static_cast<std::uint32_t>(id % entry_count);
    auto& here = entries_[place];
    queries_.emplace(id, running{place, now_, now_, nullptr});
    const admission_request wanted{
        id, caller_priority::normal, now_, now_ + budget};
    if (options_.decision == decision_kind::adaptive)
        here.lane.arrive(wanted, now_, admissions_);
    else
        admissions_.start.push_back(id);
    carry_out_admissions(place);
}

void world::carry_out_admissions(std::uint32_t place)
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
    auto& here = entries_[place];
    here.extras.queue_waiting(here.lane.waiting() > 0);
}

void world::begin(std::uint64_t id)
{
    auto& run = queries_.at(id);
    auto& here = entries_[run.entry];
    run.started = now_;
    query_start start;
    start.id = query_id{id};
    start.in_force = bundle_;
    start.search = search_index{0};
    start.snapshot =
        here.snapshots.choose(*bundle_, search_index{0}).value_or(1);
    start.deadline = run.arrived + budget;
    run.state = std::make_unique<query>(start);
    query_actions actions;
    decide(here, [&](auto policy) { run.state->begin(policy, now_, actions); });
    carry_out(id, actions);
}

void world::carry_out(std::uint64_t id, query_actions& actions)
{
    auto& run = queries_.at(id);
    auto& here = entries_[run.entry];
    if (actions.snapshot_lost && !actions.finished) {
        const auto newer = here.snapshots.choose(*bundle_, search_index{0});
        decide(here, [&](auto policy) {
            if (newer)
                (void)run.state->replan(*newer, policy, now_, actions);
        });
    }
    for (const auto& wanted : actions.send)
        send(id, wanted);
    for (const auto withdrawn : actions.cancel)
        at(now_ + hop, [this, withdrawn] { cancel(withdrawn); });
    if (actions.finished) {
        finish(id);
        return;
    }
    at(run.state->next_wakeup(), [this, id] {
        const auto found = queries_.find(id);
        if (found == queries_.end() || !found->second.state ||
            found->second.state->next_wakeup() > now_)
            return;
        query_actions next;
        decide(entries_[found->second.entry], [&](auto policy) {
            found->second.state->on_timeout(policy, now_, next);
        });
        carry_out(id, next);
    });
}

void world::send(std::uint64_t id, const attempt& wanted)
{
    auto& here = entries_[queries_.at(id).entry];
    here.stats.on_sent(wanted.upstream);
    const auto key = static_cast<std::uint64_t>(wanted.id);
    flights_[key] = {wanted.upstream.value, false, now_};
    at(now_ + hop, [this, wanted, key] { receive(wanted, key); });
}

void world::receive(const attempt& wanted, std::uint64_t flight_key)
{
    auto& held = flights_.at(flight_key);
    auto& target = replicas_[held.replica];
    if (target.in_flight >= target.bears()) {
        reply(wanted, attempt_outcome::not_sent, false);
        return;
    }
    ++target.in_flight;
    held.holds_slot = true;
    over_ += target.in_flight > slots ? 1 : 0;
    if (target.lost) {
        at(wanted.deadline, [this, wanted, flight_key] {
            const auto found = flights_.find(flight_key);
            if (found == flights_.end() || !found->second.holds_slot)
                return;
            release(found->second);
            reply(wanted, attempt_outcome::timed_out, true);
        });
        return;
    }
    if (!target.snapshots.contains(wanted.snapshot)) {
        release(held);
        reply(wanted, attempt_outcome::wrong_snapshot, true);
        return;
    }
    at(now_ + service_time(target), [this, wanted, flight_key] {
        const auto found = flights_.find(flight_key);
        if (found == flights_.end() || !found->second.holds_slot)
            return;
        release(found->second);
        reply(wanted, attempt_outcome::answered, true);
    });
}

void world::release(flight& held)
{
    held.holds_slot = false;
    --replicas_[held.replica].in_flight;
}

void world::cancel(attempt_id id)
{
    const auto found = flights_.find(static_cast<std::uint64_t>(id));
    if (found == flights_.end() || !found->second.holds_slot)
        return;
    release(found->second);
    attempt wanted;
    wanted.id = id;
    wanted.query = query_id{static_cast<std::uint64_t>(id) >> 16U};
    wanted.upstream = upstream_index{found->second.replica};
    reply(wanted, attempt_outcome::cancelled, true);
}

void world::reply(const attempt& wanted, attempt_outcome outcome, bool sent)
{
    at(now_ + hop,
       [this, wanted, outcome, sent] { on_reply(wanted, outcome, sent); });
}

void world::on_reply(const attempt& wanted, attempt_outcome outcome, bool sent)
{
    const auto held = flights_.extract(static_cast<std::uint64_t>(wanted.id));
    const auto& target = replicas_[wanted.upstream.position()];
    const auto id = static_cast<std::uint64_t>(wanted.query);
    auto& here = entries_[id % entry_count];
    attempt_result result;
    result.id = wanted.id;
    result.outcome = outcome;
    result.sent = sent;
    result.elapsed = now_ - held.mapped().sent_at;
    if (!target.lost)
        result.report = {target.phase, target.in_flight, target.snapshots};
    result.free_slots =
        target.bears() - std::min(target.bears(), target.in_flight);
    here.snapshots.observe(wanted.upstream, result.report.snapshots, now_);
    here.stats.on_ended(
        wanted.upstream, bundle_->at(wanted.upstream).service, result, now_);
    here.extras.on_ended(outcome);
    extra_ += sent ? 1 : 0;
    const auto found = queries_.find(id);
    if (found == queries_.end())
        return;
    query_actions actions;
    decide(here, [&](auto policy) {
        (void)found->second.state->on_result(result, policy, now_, actions);
    });
    carry_out(id, actions);
}

void world::finish(std::uint64_t id)
{
    const auto ended = std::move(queries_.extract(id).mapped());
    if (id > options_.queries / warm_up)
        latencies_.push_back(to_ms(now_ - ended.arrived));
    const auto covered = ended.state->coverage();
    coverage_ += covered;
    complete_ += covered >= 1 - 1e-9 && now_ <= end_ ? 1 : 0;
    first_ += ended.state->plan().parts.size();
    auto& here = entries_[ended.entry];
    if (options_.decision != decision_kind::adaptive)
        return;
    here.lane.on_finished(
        ended.started, ended.state->stalled_share(), now_, admissions_);
    const auto place = ended.entry;
    at(now_, [this, place] { carry_out_admissions(place); });
}

simulation_report world::run()
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
    const auto at_share = [&](double share) {
        if (latencies_.empty())
            return 0.0;
        const auto last = static_cast<double>(latencies_.size() - 1);
        return latencies_[static_cast<std::size_t>(share * last)];
    };
    simulation_report report;
    report.p50_ms = at_share(0.5);
    report.p99_ms = at_share(0.99);
    report.p999_ms = at_share(0.999);
    report.coverage = coverage_ / options_.queries;
    report.extra = first_ == 0 ? 0 : static_cast<double>(extra_) / first_ - 1.0;
    report.goodput =
        complete_ / to_ms(end_ - start_) / (3 * slots / mean_service_ms);
    report.refused = static_cast<double>(refused_) / options_.queries;
    report.over = over_;
    return report;
}

} // namespace

simulation_report simulate(const simulation_options& options)
{
    return world{options}.run();
}

} // namespace peridotward::query_test
