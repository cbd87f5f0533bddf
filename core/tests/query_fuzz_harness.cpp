#include "query_fuzz_harness.hpp"

#include <algorithm>
#include <cmath>

namespace peridotward::query_test {

namespace {

constexpr search_shape shape{6, 3, 4, 10};
constexpr seconds phase_lifetime{5};

/// Even seeds allow more extra attempts, so that hedges are common.
hedge_limits limits_of(std::uint64_t seed)
{
    hedge_limits limits;
    if (seed % 2 == 0)
        limits.extra_ratio = 0.5;
    // Without the reserve the bound on the extra ratio is exact.
    if (seed % 4 < 2) {
        limits.retry_reserve = 0;
        limits.reserve_refill = 0;
    }
    return limits;
}

} // namespace

query_fuzz_harness::query_fuzz_harness(std::uint64_t seed)
    : random_{seed}, limits_{limits_of(seed)}, budget_{limits_}
{
    put_in_force(make_search_bundle(shape));
    for (std::uint32_t i = 0; i < in_force_->upstreams.size(); ++i) {
        replicas_[in_force_->upstreams[i].id] = {};
        snapshots_.observe(upstream_index{i}, {1, 2}, now_);
    }
}

void query_fuzz_harness::expect(bool holds, const std::string& what)
{
    if (!holds)
        violations.push_back(what);
}

void query_fuzz_harness::put_in_force(std::shared_ptr<bundle> next)
{
    snapshots_.rebase(in_force_.get(), *next);
    stats_.rebase(in_force_.get(), *next);
    in_force_ = std::move(next);
}

template<class Call>
void query_fuzz_harness::with_policy(const bundle_ptr& planned, Call call)
{
    std::optional<bundle_translation> translation;
    if (planned != in_force_)
        translation.emplace(*planned, *in_force_);
    const auto* to_in_force = translation ? &*translation : nullptr;
    adaptive_selector replica{
        *planned,
        *in_force_,
        stats_,
        snapshots_,
        domain_index{0},
        random_,
        to_in_force};
    const adaptive_delay hedge{stats_, to_in_force};
    call(query_policy<adaptive_selector, adaptive_delay>{
        &replica, &hedge, &budget_, &random_});
}

const std::string& query_fuzz_harness::upstream_id(
    const bundle_ptr& planned, upstream_index index) const
{
    return planned->at(index).id;
}

void query_fuzz_harness::start_query(
    std::uint32_t deadline_ms, bool latency_first)
{
    auto planned = std::make_shared<bundle>(*in_force_);
    auto& search_policy = planned->searches[0].policy;
    search_policy.prefer = latency_first ? search_preference::latency
                                         : search_preference::coverage;
    const auto snapshot = snapshots_.choose(*in_force_, search_index{0});
    if (!snapshot)
        return;
    query_start start;
    start.id = query_id{++last_id_};
    start.in_force = planned;
    start.search = search_index{0};
    start.snapshot = *snapshot;
    start.deadline = now_ + milliseconds{deadline_ms};
    start.coverage_target = latency_first ? 0.5 : 1.0;
    tracked_query added;
    added.state = std::make_unique<query>(start);
    added.planned = in_force_;
    queries_.push_back(std::move(added));
    const auto index = queries_.size() - 1;
    query_actions actions;
    with_policy(in_force_, [&](auto policy) {
        queries_[index].state->begin(policy, now_, actions);
    });
    carry_out(index, actions);
}

void query_fuzz_harness::carry_out(std::size_t index, query_actions& actions)
{
    auto& tracked = queries_[index];
    auto& state = *tracked.state;
    if (actions.snapshot_lost && !actions.finished &&
        tracked.planned == in_force_) {
        const auto newer = snapshots_.choose(*in_force_, search_index{0});
        bool replanned = false;
        with_policy(tracked.planned, [&](auto policy) {
            replanned = newer && state.replan(*newer, policy, now_, actions);
        });
        if (replanned) {
            ++replans;
            ++tracked.epoch;
            tracked.merged.fill(0);
        }
    }
    for (const auto& sent : actions.send)
        record_send(index, sent);
    for (const auto id : actions.cancel) {
        const bool was_open = std::any_of(
            open_.begin(), open_.end(), [&](const open_attempt& each) {
                return each.sent.id == id;
            });
        expect(was_open, "cancelled an attempt that was not open");
    }
    expect(
        state.finished() || state.next_wakeup() <= state.start().deadline,
        "the next wakeup is after the deadline");
    if (actions.finished)
        check_finished(tracked);
    check_budget();
}

void query_fuzz_harness::record_send(std::size_t index, const attempt& sent)
{
    auto& tracked = queries_[index];
    const auto& name = upstream_id(tracked.planned, sent.upstream);
    const auto& target = replicas_.at(name);
    const bool recent = now_ - target.reported_at < phase_lifetime;
    expect(
        !(recent && sent.hedge &&
          target.reported_phase == upstream_phase::cold),
        "a hedge was sent to a cold upstream");
    expect(
        !(recent && target.reported_phase == upstream_phase::draining),
        "an attempt was sent to a draining upstream");
    expect(
        in_force_->admits(in_force_->find_upstream(name)),
        "an attempt was sent to an upstream that is not admitted");
    expect(
        sent.snapshot == tracked.state->start().snapshot,
        "the snapshot of an attempt differs from that of its query");
    expect(
        now_ < sent.deadline &&
            sent.deadline == tracked.state->start().deadline,
        "an attempt was sent after its deadline");
    for (const auto& other : open_)
        expect(other.sent.id != sent.id, "an attempt id was used twice");
    const part_key key{index, tracked.epoch, sent.part};
    const bool extra = sent_counts_[key]++ > 0;
    extra_attempts += extra ? 1 : 0;
    expect(
        !(extra && budget_.overloaded()),
        "an extra attempt was sent under overload");
    tracked.may_have_sent = true;
    const auto in_force_index = in_force_->find_upstream(name);
    if (in_force_index.valid())
        stats_.on_sent(in_force_index);
    open_.push_back({sent, index, tracked.epoch, sent.hedge});
}

std::optional<query_fuzz_harness::open_attempt>
query_fuzz_harness::remove_open(std::uint32_t attempt_index)
{
    if (open_.empty())
        return std::nullopt;
    const auto position = open_.begin() + static_cast<std::ptrdiff_t>(
                                              attempt_index % open_.size());
    const auto found = *position;
    open_.erase(position);
    return found;
}

void query_fuzz_harness::answer(std::uint32_t attempt_index)
{
    const auto found = remove_open(attempt_index);
    if (!found)
        return;
    const auto& name =
        upstream_id(queries_[found->query].planned, found->sent.upstream);
    const bool serves =
        replicas_.at(name).snapshots.contains(found->sent.snapshot);
    deliver(
        *found,
        serves ? attempt_outcome::answered : attempt_outcome::wrong_snapshot,
        true);
}

void query_fuzz_harness::fail(
    std::uint32_t attempt_index, attempt_outcome outcome)
{
    if (const auto found = remove_open(attempt_index))
        deliver(*found, outcome, outcome != attempt_outcome::not_sent);
}

void query_fuzz_harness::deliver(
    open_attempt ended, attempt_outcome outcome, bool sent)
{
    auto& tracked = queries_[ended.query];
    if (!sent)
        --sent_counts_[{ended.query, ended.epoch, ended.sent.part}];
    const auto& name = upstream_id(tracked.planned, ended.sent.upstream);
    auto& target = replicas_.at(name);
    attempt_result result;
    result.id = ended.sent.id;
    result.outcome = outcome;
    result.sent = sent;
    result.elapsed = microseconds{1000 + random_.below(20000)};
    if (sent) {
        result.report.phase = target.phase;
        result.report.snapshots = target.snapshots;
        target.reported_phase = target.phase;
        target.reported_at = now_;
    }
    observe(ended.sent, result, tracked.planned);
    query_actions actions;
    bool merged = false;
    with_policy(tracked.planned, [&](auto policy) {
        merged = tracked.state->on_result(result, policy, now_, actions);
    });
    expect(
        !merged || (!tracked.finished && ended.epoch == tracked.epoch),
        "a late answer was merged");
    expect(
        !merged || outcome == attempt_outcome::answered,
        "a faulty answer was merged");
    if (merged)
        merge(tracked, ended.sent);
    for (const auto& other : open_) {
        const bool obsolete = merged && other.query == ended.query &&
                              other.epoch == ended.epoch &&
                              other.sent.part == ended.sent.part;
        const auto& cancelled = actions.cancel;
        expect(
            !obsolete ||
                std::find(cancelled.begin(), cancelled.end(), other.sent.id) !=
                    cancelled.end(),
            "another attempt of a merged part was not cancelled");
    }
    carry_out(ended.query, actions);
}

void query_fuzz_harness::observe(
    const attempt& ended,
    const attempt_result& result,
    const bundle_ptr& planned)
{
    budget_.on_ended(result.outcome);
    const auto in_force_index =
        in_force_->find_upstream(upstream_id(planned, ended.upstream));
    if (!in_force_index.valid())
        return;
    snapshots_.observe(in_force_index, result.report.snapshots, now_);
    stats_.on_ended(
        in_force_index, in_force_->at(in_force_index).service, result, now_);
}

void query_fuzz_harness::merge(tracked_query& query, const attempt& ended)
{
    for (auto key = ended.range.first; key < ended.range.last; ++key) {
        expect(query.merged[key] == 0, "a key was merged twice");
        query.merged[key] = ended.snapshot;
    }
}

void query_fuzz_harness::check_finished(tracked_query& query)
{
    expect(!query.finished, "a query finished twice");
    query.finished = true;
    const auto& state = *query.state;
    std::uint64_t present = 0;
    for (std::uint64_t key = 0; key < keys; ++key) {
        const auto snapshot = query.merged[key];
        present += snapshot == 0 ? 0 : 1;
        expect(
            snapshot == 0 || snapshot == state.start().snapshot,
            "an answer mixes snapshots");
    }
    expect(
        std::abs(state.coverage() * keys - static_cast<double>(present)) < 1e-6,
        "the coverage differs from the merged keys");
    std::array<bool, keys> missing{};
    for (const auto& gap : state.missing()) {
        expect(
            gap.reason != attempt_outcome::answered,
            "the reason of a missing range is `answered`");
        for (auto key = gap.range.first; key < gap.range.last; ++key)
            missing[key] = true;
    }
    for (std::uint64_t key = 0; key < keys; ++key)
        expect(
            missing[key] == (query.merged[key] == 0),
            "the missing ranges differ from the keys that are not merged");
    const auto index = static_cast<std::size_t>(&query - queries_.data());
    bool reached = false;
    for (const auto& [key, count] : sent_counts_)
        reached = reached || (std::get<0>(key) == index && count > 0);
    expect(
        state.anything_sent() || !reached,
        "a query with a sent attempt reports that nothing was sent");
    expect(state.in_flight() == 0, "a finished query has open attempts");
}

void query_fuzz_harness::check_budget()
{
    std::uint64_t first = 0;
    std::uint64_t extra = 0;
    for (const auto& [key, count] : sent_counts_) {
        first += count > 0 ? 1 : 0;
        extra += count > 1 ? count - 1 : 0;
    }
    const std::chrono::duration<double> elapsed = now_ - started_;
    const double reserve =
        limits_.retry_reserve + limits_.reserve_refill * elapsed.count();
    expect(
        static_cast<double>(extra) <=
            limits_.extra_ratio * first + reserve + 1e-6,
        "extra attempts exceed their budget");
}

void query_fuzz_harness::answer_twice(std::uint32_t attempt_index)
{
    if (open_.empty())
        return;
    const auto again = open_[attempt_index % open_.size()];
    answer(attempt_index);
    attempt_result result;
    result.id = again.sent.id;
    result.outcome = attempt_outcome::answered;
    result.sent = true;
    auto& tracked = queries_[again.query];
    query_actions actions;
    bool merged = false;
    with_policy(tracked.planned, [&](auto policy) {
        merged = tracked.state->on_result(result, policy, now_, actions);
    });
    expect(!merged, "a duplicate answer was merged");
    carry_out(again.query, actions);
}

void query_fuzz_harness::misroute_answer(
    std::uint32_t attempt_index, std::uint32_t query_index)
{
    if (open_.empty() || queries_.empty())
        return;
    const auto& foreign = open_[attempt_index % open_.size()];
    const auto index = query_index % queries_.size();
    if (index == foreign.query)
        return;
    attempt_result result;
    result.id = foreign.sent.id;
    result.outcome = attempt_outcome::answered;
    result.sent = true;
    query_actions actions;
    bool merged = false;
    with_policy(queries_[index].planned, [&](auto policy) {
        merged =
            queries_[index].state->on_result(result, policy, now_, actions);
    });
    expect(!merged, "an answer to another query was merged");
    carry_out(index, actions);
}

void query_fuzz_harness::change_snapshots(
    std::uint32_t upstream, std::uint32_t step)
{
    const auto shift = [](snapshot_range& snapshots, std::uint32_t bits) {
        snapshots.newest += bits % 2;
        snapshots.oldest += bits / 2 % 2;
        snapshots.oldest = std::min(snapshots.oldest, snapshots.newest);
    };
    if (step % 8 == 0) {
        // All replicas advance by two snapshots at once.
        for (auto& [id, each] : replicas_) {
            shift(each.snapshots, 3);
            shift(each.snapshots, 3);
        }
        return;
    }
    auto changed = replicas_.begin();
    std::advance(changed, upstream % replicas_.size());
    shift(changed->second.snapshots, step);
}

void query_fuzz_harness::change_phase(
    std::uint32_t upstream, upstream_phase phase)
{
    auto changed = replicas_.begin();
    std::advance(changed, upstream % replicas_.size());
    changed->second.phase = phase;
}

/// Puts a bundle in force whose snapshots after the newest have a shard map
/// with shifted bounds and a hole at the end, and whose upstreams have other
/// indices.
void query_fuzz_harness::repartition()
{
    auto next = std::make_shared<bundle>(*in_force_);
    ++next->version;
    const auto count = static_cast<std::uint32_t>(next->upstreams.size());
    std::rotate(
        next->upstreams.begin(),
        next->upstreams.begin() + 1,
        next->upstreams.end());
    for (auto& service : next->services) {
        for (auto& index : service.upstreams)
            index.value = (index.value + count - 1) % count;
    }
    auto map = next->maps.back();
    snapshot_id newest = 0;
    for (const auto& [id, each] : replicas_)
        newest = std::max(newest, each.snapshots.newest);
    map.from_snapshot = newest + 1;
    const auto moved = 1 + random_.below(8);
    for (std::size_t i = 0; i < map.shards.size(); ++i) {
        map.shards[i].range.first = i == 0 ? 0 : i * 10 - moved;
        map.shards[i].range.last = (i + 1) * 10 - moved;
    }
    next->maps.push_back(std::move(map));
    put_in_force(std::move(next));
}

void query_fuzz_harness::remove_upstream(std::uint32_t upstream)
{
    auto next = std::make_shared<bundle>(*in_force_);
    ++next->version;
    for (auto& each : next->upstreams)
        each.state = admin_state::in;
    next->upstreams[upstream % next->upstreams.size()].state = admin_state::out;
    put_in_force(std::move(next));
}

void query_fuzz_harness::set_queries_waiting(bool waiting)
{
    budget_.set_queries_waiting(waiting);
}

void query_fuzz_harness::cancel(std::uint32_t query_index)
{
    if (queries_.empty())
        return;
    const auto index = query_index % queries_.size();
    query_actions actions;
    queries_[index].state->abandon(actions);
    carry_out(index, actions);
}

void query_fuzz_harness::advance_time(duration step)
{
    now_ += step;
    for (std::size_t i = 0; i < queries_.size(); ++i) {
        auto& state = *queries_[i].state;
        if (state.finished() || state.next_wakeup() > now_)
            continue;
        query_actions actions;
        with_policy(queries_[i].planned, [&](auto policy) {
            state.on_timeout(policy, now_, actions);
        });
        carry_out(i, actions);
        expect(
            state.finished() || now_ < state.start().deadline,
            "a query did not finish at its deadline");
        expect(
            state.finished() || state.next_wakeup() > now_,
            "the next wakeup is not after the current time");
    }
}

void query_fuzz_harness::finish()
{
    advance_time(std::chrono::minutes{1});
    while (!open_.empty())
        answer(0);
    for (const auto& each : queries_) {
        expect(each.finished, "a query never finished");
        expect(
            each.state->in_flight() == 0,
            "a query still has open attempts at the end");
    }
    for (std::uint32_t i = 0; i < in_force_->upstreams.size(); ++i)
        expect(
            stats_.at(upstream_index{i}).in_flight == 0,
            "the count of attempts in flight at an upstream is not 0 at the "
            "end");
}

} // namespace peridotward::query_test
