#include "log.hpp"
#include "queries/query_runner.hpp"

#include <peridotward/core/placement/adaptive_selector.hpp>
#include <peridotward/core/query/answer_check.hpp>

namespace peridotward {

namespace {

constexpr std::uint64_t attempt_number_mask = 0xffff;

std::uint64_t to_integer(query_id id) noexcept
{
    return static_cast<std::uint64_t>(id);
}

std::uint64_t to_integer(attempt_id id) noexcept
{
    return static_cast<std::uint64_t>(id);
}

} // namespace

query_runner::query_runner(
    instance_state& state, attempt_transport& transport, answer_handler answer)
    : state_{&state},
      transport_{&transport},
      answer_{std::move(answer)},
      queue_{
          state,
          [this](std::uint64_t id, queued_query queued) {
              start(id, std::move(queued));
          },
          [this](exchange_id exchange, http_response response) {
              answer_(exchange, std::move(response));
          }}
{
    transport_->set_completion_handler(
        [this](const attempt& completed, shard_response response) {
            on_response(completed, std::move(response));
        });
}

result<void> query_runner::submit(request_context context, search_index search)
{
    auto arguments = parse_query_arguments(context.body);
    if (!arguments)
        return tl::unexpected{arguments.error()};
    if (running_.size() + queue_.waiting() >=
        state_->configured.limits.max_queries)
        return fail(error_kind::overloaded, "too many queries are running");
    const auto& definition = context.in_force->at(search);
    context.deadline = std::min<time_point>(
        context.deadline, context.arrived + definition.policy.max_deadline);
    queue_.submit(
        ++last_query_, {std::move(context), search, std::move(*arguments)});
    return {};
}

void query_runner::start(std::uint64_t id, queued_query queued)
{
    auto& context = queued.context;
    const auto& definition = context.in_force->at(queued.search);
    const bool current = context.in_force == state_->in_force;
    // The snapshot tracker uses indices of the bundle in force, so a search of
    // an older bundle is looked up again by its id.
    const auto search =
        current ? queued.search : state_->in_force->find_search(definition.id);
    const auto snapshot =
        search.valid() ? state_->snapshots.choose(*state_->in_force, search)
                       : std::nullopt;
    const auto now = state_->loop.now();
    if (!snapshot) {
        answer_(
            context.exchange,
            error_response(
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
    start.search = queued.search;
    start.snapshot = *snapshot;
    start.deadline = context.deadline;
    start.coverage_target = definition.policy.coverage_target;
    query_context shared_context{
        start.id,
        start.in_force,
        std::move(queued.arguments.criteria),
        context.priority};
    auto created = std::make_unique<running_query>(running_query{
        std::move(context),
        queued.arguments.minimum_coverage,
        definition.id,
        now,
        std::move(shared_context),
        query{start},
        {},
        {}});
    auto& running = *created;
    running_.emplace(id, std::move(created));
    running.records.resize(running.state.plan().parts.size());
    state_->metrics.increment("queries");
    query_actions actions;
    with_policy(start.in_force, [&](auto policy) {
        running.state.begin(policy, now, actions);
    });
    execute(running, actions);
}

void query_runner::on_caller_disconnect(exchange_id exchange)
{
    if (queue_.on_caller_disconnect(exchange)) {
        state_->metrics.increment("callers_gone");
        return;
    }
    for (auto entry = running_.begin(); entry != running_.end(); ++entry) {
        auto& running = *entry->second;
        if (running.context.exchange != exchange)
            continue;
        query_actions actions;
        running.state.abandon(actions);
        transport_->cancel(actions.cancel);
        state_->metrics.increment("callers_gone");
        const auto finished = std::move(entry->second);
        running_.erase(entry);
        release_admission(*finished);
        return;
    }
}

template<class Function>
void query_runner::with_policy(
    const bundle_ptr& planned_bundle, Function function)
{
    const auto* translation = translation_for(planned_bundle);
    const auto& current = *state_->in_force;
    adaptive_selector selector{
        *planned_bundle,
        current,
        state_->replicas,
        state_->snapshots,
        current.find_domain(state_->configured.instance.domain),
        state_->random,
        translation};
    const adaptive_delay hedge{state_->replicas, translation};
    function(query_policy<adaptive_selector, adaptive_delay>{
        &selector, &hedge, &state_->extra_attempts, &state_->random});
}

const bundle_translation*
query_runner::translation_for(const bundle_ptr& planned_bundle)
{
    if (planned_bundle == state_->in_force)
        return nullptr;
    if (planned_bundle != translated_from_ ||
        state_->in_force != translated_to_) {
        translated_from_ = planned_bundle;
        translated_to_ = state_->in_force;
        translation_ = std::make_unique<bundle_translation>(
            *planned_bundle, *translated_to_);
    }
    return translation_.get();
}

void query_runner::execute(running_query& running, query_actions& actions)
{
    if (actions.snapshot_lost && !actions.finished)
        replan_on_newer_snapshot(running, actions);
    send_attempts(running, actions.send);
    transport_->cancel(actions.cancel);
    state_->metrics.increment("attempts_cancelled", actions.cancel.size());
    if (actions.finished)
        finish(running);
    else
        schedule_wakeup(running);
}

void query_runner::send_attempts(
    running_query& running, std::span<const attempt> attempts)
{
    if (attempts.empty())
        return;
    const auto now = state_->loop.now();
    const auto& planned_bundle = running.context.in_force;
    const auto* translation = translation_for(planned_bundle);
    for (const auto& spec : attempts) {
        outstanding_.emplace(
            to_integer(spec.id), outstanding_attempt{planned_bundle, now});
        const auto current_upstream =
            translation ? (*translation)(spec.upstream) : spec.upstream;
        if (current_upstream.valid())
            state_->replicas.on_sent(current_upstream);
        running.attempt_traces.push_back(
            {spec.part,
             planned_bundle->at(spec.upstream).id,
             spec.hedge,
             false,
             attempt_outcome::not_sent,
             std::chrono::duration_cast<microseconds>(
                 now - running.context.arrived),
             {}});
        if (spec.hedge)
            state_->metrics.increment("hedges");
    }
    state_->metrics.increment("attempts", attempts.size());
    transport_->send(running.shared_context, attempts);
}

void query_runner::replan_on_newer_snapshot(
    running_query& running, query_actions& actions)
{
    if (running.context.in_force != state_->in_force)
        return;
    const auto newer = state_->snapshots.choose(
        *state_->in_force, running.state.start().search);
    bool started = false;
    with_policy(running.context.in_force, [&](auto policy) {
        started = newer && running.state.replan(
                               *newer, policy, state_->loop.now(), actions);
    });
    if (!started)
        return;
    running.records.assign(running.state.plan().parts.size(), json{});
    state_->metrics.increment("replans");
}

void query_runner::schedule_wakeup(running_query& running)
{
    const auto due = running.state.next_wakeup();
    if (due >= running.next_timer)
        return;
    running.next_timer = due;
    const auto id = to_integer(running.state.start().id);
    state_->loop.schedule_at(due, [this, id] { on_wakeup(id); });
}

void query_runner::on_wakeup(std::uint64_t id)
{
    const auto found = running_.find(id);
    if (found == running_.end())
        return;
    auto& running = *found->second;
    const auto now = state_->loop.now();
    if (now >= running.next_timer)
        running.next_timer = time_point::max();
    query_actions actions;
    with_policy(running.context.in_force, [&](auto policy) {
        running.state.on_timeout(policy, now, actions);
    });
    execute(running, actions);
}

void query_runner::on_response(
    const attempt& completed, shard_response response)
{
    const auto sent = outstanding_.extract(to_integer(completed.id));
    if (sent.empty())
        return;
    const auto planned_bundle = sent.mapped().in_force;
    const auto now = state_->loop.now();
    const auto found = running_.find(to_integer(completed.query));
    json body;
    if (response.outcome == attempt_outcome::answered &&
        found != running_.end()) {
        auto parsed = parse_json(response.body);
        if (parsed)
            body = std::move(*parsed);
        const auto request_id = transport_->request_id_of(completed.id);
        response.outcome = check_answer(
            body,
            {request_id,
             planned_bundle->service_of(completed.upstream).id,
             completed.range,
             completed.snapshot});
    }
    const attempt_result result{
        completed.id,
        response.outcome,
        response.sent,
        response.report,
        now - sent.mapped().sent_at,
        response.free_slots};
    record_result(completed, result, planned_bundle);
    if (found == running_.end()) {
        state_->metrics.increment("late_answers");
        return;
    }
    auto& running = *found->second;
    record_trace(running, result);
    query_actions actions;
    bool merged = false;
    with_policy(planned_bundle, [&](auto policy) {
        merged = running.state.on_result(result, policy, now, actions);
    });
    if (merged)
        running.records[completed.part] = std::move(body["records"]);
    execute(running, actions);
}

void query_runner::record_result(
    const attempt& completed,
    const attempt_result& result,
    const bundle_ptr& planned_bundle)
{
    state_->metrics.increment(
        "attempt_outcome_" + std::string{name_of(result.outcome)});
    state_->extra_attempts.on_ended(result.outcome);
    const auto* translation = translation_for(planned_bundle);
    const auto current_upstream =
        translation ? (*translation)(completed.upstream) : completed.upstream;
    if (!current_upstream.valid())
        return;
    const auto now = state_->loop.now();
    state_->snapshots.observe(current_upstream, result.report.snapshots, now);
    state_->replicas.on_ended(
        current_upstream,
        state_->in_force->at(current_upstream).service,
        result,
        now);
}

void query_runner::record_trace(
    running_query& running, const attempt_result& result)
{
    const auto number = to_integer(result.id) & attempt_number_mask;
    if (number == 0 || number > running.attempt_traces.size())
        return;
    auto& trace = running.attempt_traces[number - 1];
    trace.ended = true;
    trace.outcome = result.outcome;
    trace.ended_at = std::chrono::duration_cast<microseconds>(
        state_->loop.now() - running.context.arrived);
}

void query_runner::finish(running_query& running)
{
    const auto id = to_integer(running.state.start().id);
    const auto now = state_->loop.now();
    const auto elapsed = now - running.context.arrived;
    state_->metrics.record_latency("query", elapsed);
    auto response = make_response(running);
    log_event(
        log_level::debug,
        "query_finished",
        {{"request", running.context.request_id},
         {"status", response.status},
         {"coverage", std::to_string(running.state.coverage())},
         {"attempts", running.state.attempts()},
         {"elapsed_us",
          std::chrono::duration_cast<microseconds>(elapsed).count()}});
    state_->finished_queries.add(make_trace(running, response, now));
    answer_(running.context.exchange, std::move(response));
    const auto finished = std::move(running_.extract(id).mapped());
    release_admission(*finished);
}

void query_runner::release_admission(const running_query& running)
{
    const auto& start = running.state.start();
    queue_.on_finished(
        start.in_force->at(start.search),
        running.started,
        running.state.stalled_share());
}

} // namespace peridotward
