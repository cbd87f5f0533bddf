#include "log.hpp"
#include "queries/query_runner.hpp"

#include <peridotward/core/placement/adaptive_replica.hpp>
#include <peridotward/core/query/answer_check.hpp>

namespace peridotward {

namespace {

constexpr std::uint64_t attempt_number_mask = 0xffff;

std::uint64_t key_of(query_id id) noexcept
{
    return static_cast<std::uint64_t>(id);
}

std::uint64_t key_of(attempt_id id) noexcept
{
    return static_cast<std::uint64_t>(id);
}

} // namespace

query_runner::query_runner(
    instance_state& state, attempt_transport& port, answer_handler answer)
    : state_{&state},
      port_{&port},
      answer_{std::move(answer)},
      queue_{
          state,
          [this](std::uint64_t id, queued_query wanted) {
              begin(id, std::move(wanted));
          },
          [this](exchange_id exchange, http_response response) {
              answer_(exchange, std::move(response));
          }}
{
    port_->on_end([this](const attempt& ended, shard_response response) {
        on_response(ended, std::move(response));
    });
}

result<void> query_runner::start(request_context context, search_index wanted)
{
    auto arguments = parse_query_arguments(context.body);
    if (!arguments)
        return tl::unexpected{arguments.error()};
    if (running_.size() + queue_.waiting() >=
        state_->configured.limits.max_queries)
        return fail(error_kind::overloaded, "too many queries are running");
    const auto& definition = context.in_force->at(wanted);
    context.deadline = std::min<time_point>(
        context.deadline, context.arrived + definition.policy.max_deadline);
    queue_.arrive(
        ++last_query_, {std::move(context), wanted, std::move(*arguments)});
    return {};
}

void query_runner::begin(std::uint64_t id, queued_query wanted)
{
    auto& context = wanted.context;
    const auto& definition = context.in_force->at(wanted.wanted);
    const bool current = context.in_force == state_->in_force;
    // Indices of an older bundle mean nothing to the tracker, so the search
    // is looked up again.
    const auto search =
        current ? wanted.wanted : state_->in_force->find_search(definition.id);
    const auto snapshot =
        search.valid() ? state_->snapshots.choose(*state_->in_force, search)
                       : std::nullopt;
    const auto now = state_->loop.now();
    if (!snapshot) {
        answer_(
            context.exchange,
            refusal(
                {error_kind::snapshot_unavailable,
                 "no upstream of search \"" + definition.id +
                     "\" has told its snapshots"},
                context.request_id,
                milliseconds{100}));
        queue_.on_finished(definition, now, 0);
        return;
    }
    query_start start;
    start.id = query_id{id};
    start.in_force = context.in_force;
    start.search = wanted.wanted;
    start.snapshot = *snapshot;
    start.deadline = context.deadline;
    start.coverage_target = definition.policy.coverage_target;
    query_context job{
        start.id,
        start.in_force,
        std::move(wanted.arguments.criteria),
        context.priority};
    auto owned = std::make_unique<running_query>(running_query{
        std::move(context),
        wanted.arguments.minimum_coverage,
        definition.id,
        now,
        std::move(job),
        query{start},
        {},
        {}});
    auto& run = *owned;
    running_.emplace(id, std::move(owned));
    run.records.resize(run.state.plan().parts.size());
    state_->counted.count("queries");
    query_actions actions;
    decide(start.in_force, [&](auto policy) {
        run.state.begin(policy, now, actions);
    });
    carry_out(run, actions);
}

void query_runner::caller_gone(exchange_id exchange)
{
    if (queue_.caller_gone(exchange)) {
        state_->counted.count("callers_gone");
        return;
    }
    for (auto it = running_.begin(); it != running_.end(); ++it) {
        auto& run = *it->second;
        if (run.context.exchange != exchange)
            continue;
        query_actions actions;
        run.state.abandon(actions);
        port_->cancel(actions.cancel);
        state_->counted.count("callers_gone");
        const auto ended = std::move(it->second);
        running_.erase(it);
        release(*ended);
        return;
    }
}

template<class Work>
void query_runner::decide(const bundle_ptr& planned, Work work)
{
    const auto* translation = translation_from(planned);
    const auto& current = *state_->in_force;
    adaptive_replica replica{
        *planned,
        current,
        state_->replicas,
        state_->snapshots,
        current.find_domain(state_->configured.instance.domain),
        state_->random,
        translation};
    const adaptive_delay hedge{state_->replicas, translation};
    work(query_policy<adaptive_replica, adaptive_delay>{
        &replica, &hedge, &state_->extras, &state_->random});
}

const bundle_translation*
query_runner::translation_from(const bundle_ptr& planned)
{
    if (planned == state_->in_force)
        return nullptr;
    if (planned != translated_from_ || state_->in_force != translated_to_) {
        translated_from_ = planned;
        translated_to_ = state_->in_force;
        translation_ =
            std::make_unique<bundle_translation>(*planned, *translated_to_);
    }
    return translation_.get();
}

void query_runner::carry_out(running_query& run, query_actions& actions)
{
    if (actions.snapshot_lost && !actions.finished)
        try_newer_snapshot(run, actions);
    hand_over(run, actions.send);
    port_->cancel(actions.cancel);
    state_->counted.count("attempts_cancelled", actions.cancel.size());
    if (actions.finished)
        finish(run);
    else
        arm(run);
}

void query_runner::hand_over(
    running_query& run, std::span<const attempt> attempts)
{
    if (attempts.empty())
        return;
    const auto now = state_->loop.now();
    const auto& planned = run.context.in_force;
    const auto* translation = translation_from(planned);
    for (const auto& wanted : attempts) {
        outstanding_.emplace(
            key_of(wanted.id), outstanding_attempt{planned, now});
        const auto known =
            translation ? (*translation)(wanted.upstream) : wanted.upstream;
        if (known.valid())
            state_->replicas.on_sent(known);
        run.trace.push_back(
            {wanted.part,
             planned->at(wanted.upstream).id,
             wanted.hedge,
             false,
             attempt_outcome::not_sent,
             std::chrono::duration_cast<microseconds>(
                 now - run.context.arrived),
             {}});
        if (wanted.hedge)
            state_->counted.count("hedges");
    }
    state_->counted.count("attempts", attempts.size());
    port_->send(run.job, attempts);
}

void query_runner::try_newer_snapshot(
    running_query& run, query_actions& actions)
{
    if (run.context.in_force != state_->in_force)
        return;
    const auto newer =
        state_->snapshots.choose(*state_->in_force, run.state.start().search);
    bool started = false;
    decide(run.context.in_force, [&](auto policy) {
        started = newer &&
                  run.state.replan(*newer, policy, state_->loop.now(), actions);
    });
    if (!started)
        return;
    run.records.assign(run.state.plan().parts.size(), json{});
    state_->counted.count("replans");
}

void query_runner::arm(running_query& run)
{
    const auto due = run.state.next_wakeup();
    if (due >= run.armed)
        return;
    run.armed = due;
    const auto id = key_of(run.state.start().id);
    state_->loop.at(due, [this, id] { on_wakeup(id); });
}

void query_runner::on_wakeup(std::uint64_t id)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    auto& run = *found->second;
    const auto now = state_->loop.now();
    if (now >= run.armed)
        run.armed = time_point::max();
    query_actions actions;
    decide(run.context.in_force, [&](auto policy) {
        run.state.on_time(policy, now, actions);
    });
    carry_out(run, actions);
}

void query_runner::on_response(const attempt& ended, shard_response response)
{
    const auto sent = outstanding_.extract(key_of(ended.id));
    if (sent.empty())
        return;
    const auto planned = sent.mapped().in_force;
    const auto now = state_->loop.now();
    const auto found = running_.find(key_of(ended.query));
    json body;
    if (response.outcome == attempt_outcome::answered &&
        found != running_.end()) {
        auto parsed = parse_json(response.body);
        if (parsed)
            body = std::move(*parsed);
        const auto name = port_->name_of_attempt(ended.id);
        response.outcome = check_answer(
            body,
            {name,
             planned->service_of(ended.upstream).id,
             ended.range,
             ended.snapshot});
    }
    const attempt_result result{
        ended.id,
        response.outcome,
        response.sent,
        response.report,
        now - sent.mapped().sent_at,
        response.free_slots};
    observe(ended, result, planned);
    if (found == running_.end()) {
        state_->counted.count("late_answers");
        return;
    }
    auto& run = *found->second;
    note_trace(run, result);
    query_actions actions;
    bool merged = false;
    decide(planned, [&](auto policy) {
        merged = run.state.on_result(result, policy, now, actions);
    });
    if (merged)
        run.records[ended.part] = std::move(body["records"]);
    carry_out(run, actions);
}

void query_runner::observe(
    const attempt& ended,
    const attempt_result& result,
    const bundle_ptr& planned)
{
    state_->counted.count(
        "attempt_outcome_" + std::string{name_of(result.outcome)});
    state_->extras.on_ended(result.outcome);
    const auto* translation = translation_from(planned);
    const auto known =
        translation ? (*translation)(ended.upstream) : ended.upstream;
    if (!known.valid())
        return;
    const auto now = state_->loop.now();
    state_->snapshots.observe(known, result.report.snapshots, now);
    state_->replicas.on_ended(
        known, state_->in_force->at(known).service, result, now);
}

void query_runner::note_trace(running_query& run, const attempt_result& result)
{
    const auto number = key_of(result.id) & attempt_number_mask;
    if (number == 0 || number > run.trace.size())
        return;
    auto& trace = run.trace[number - 1];
    trace.ended = true;
    trace.outcome = result.outcome;
    trace.ended_at = std::chrono::duration_cast<microseconds>(
        state_->loop.now() - run.context.arrived);
}

void query_runner::finish(running_query& run)
{
    const auto id = key_of(run.state.start().id);
    const auto now = state_->loop.now();
    const auto elapsed = now - run.context.arrived;
    state_->counted.latency("query", elapsed);
    auto response = render_answer(run);
    log_event(
        log_level::debug,
        "query_finished",
        {{"request", run.context.request_id},
         {"status", response.status},
         {"coverage", std::to_string(run.state.coverage())},
         {"attempts", run.state.attempts()},
         {"elapsed_us",
          std::chrono::duration_cast<microseconds>(elapsed).count()}});
    state_->recent.add(trace_of(run, response, now));
    answer_(run.context.exchange, std::move(response));
    const auto ended = std::move(running_.extract(id).mapped());
    release(*ended);
}

void query_runner::release(const running_query& run)
{
    const auto& start = run.state.start();
    queue_.on_finished(
        start.in_force->at(start.search),
        run.started,
        run.state.stalled_share());
}

} // namespace peridotward
