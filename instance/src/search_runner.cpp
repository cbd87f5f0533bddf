#include "log.hpp"
#include "search_runner.hpp"

#include <peridotward/core/answer_check.hpp>
#include <peridotward/core/random_replica.hpp>

namespace peridotward {

namespace {

constexpr milliseconds retry_after{100};
constexpr std::uint16_t http_partial = 206;

result<double> minimum_coverage(const json& body)
{
    const auto found = body.find("minimum_coverage");
    if (found == body.end())
        return 0.0;
    if (!found->is_number() || found->get<double>() < 0 ||
        found->get<double>() > 1)
        return fail(
            error_kind::bad_request,
            "minimum_coverage: expected 0..1, found " + found->dump());
    return found->get<double>();
}

result<std::string> criteria_of(const json& body)
{
    const auto found = body.find("criteria");
    if (found == body.end())
        return std::string{"{}"};
    if (!found->is_object())
        return fail(
            error_kind::bad_request,
            "criteria: expected an object, found " + found->dump());
    return found->dump();
}

} // namespace

search_runner::search_runner(
    node_state& state, attempt_port& port, answer_handler answer)
    : state_{&state}, port_{&port}, answer_{std::move(answer)}
{
    port_->on_end([this](const attempt& ended, shard_response response) {
        on_response(ended, std::move(response));
    });
}

result<void> search_runner::start(request_context context, search_index wanted)
{
    const auto minimum = minimum_coverage(context.body);
    if (!minimum)
        return tl::unexpected{minimum.error()};
    auto criteria = criteria_of(context.body);
    if (!criteria)
        return tl::unexpected{criteria.error()};
    if (running_.size() >= state_->configured.limits.max_queries)
        return fail(error_kind::overloaded, "too many queries are running");
    const auto& definition = context.in_force->at(wanted);
    const auto snapshot =
        state_->snapshots.choose(*context.in_force, definition);
    if (!snapshot)
        return fail(
            error_kind::snapshot_unavailable,
            "no upstream of search \"" + definition.id +
                "\" has told its snapshots");
    context.deadline = std::min<time_point>(
        context.deadline, context.arrived + definition.policy.max_deadline);
    query_start start;
    start.id = query_id{++last_query_};
    start.in_force = context.in_force;
    start.search = wanted;
    start.snapshot = *snapshot;
    start.deadline = context.deadline;
    start.coverage_target = definition.policy.coverage_target;
    search_job job{
        start.id, start.in_force, std::move(*criteria), context.priority};
    auto run = std::make_unique<running_search>(running_search{
        std::move(context), *minimum, std::move(job), query{start}, {}, {}});
    run->records.resize(run->state.plan().parts.size());
    auto& running = *run;
    running_.emplace(last_query_, std::move(run));
    state_->counted.count("queries");
    state_->loop.at(start.deadline, [this, id = start.id] { on_deadline(id); });
    query_actions actions;
    random_replica policy{*running.context.in_force, state_->random};
    running.state.begin(policy, state_->loop.now(), actions);
    carry_out(running, actions);
    return {};
}

void search_runner::caller_gone(exchange_id exchange)
{
    for (auto it = running_.begin(); it != running_.end(); ++it) {
        auto& run = *it->second;
        if (run.context.exchange != exchange)
            continue;
        std::vector<attempt_id> abandoned;
        for (const auto& [id, wanted] : run.sent)
            abandoned.push_back(wanted.id);
        port_->cancel(abandoned);
        state_->counted.count("callers_gone");
        running_.erase(it);
        return;
    }
}

void search_runner::carry_out(running_search& run, query_actions& actions)
{
    for (const auto& wanted : actions.send)
        run.sent.emplace(static_cast<std::uint64_t>(wanted.id), wanted);
    state_->counted.count("attempts", actions.send.size());
    state_->counted.count("attempts_cancelled", actions.cancel.size());
    port_->send(run.job, actions.send);
    port_->cancel(actions.cancel);
    if (actions.finished)
        finish(run);
}

void search_runner::on_response(const attempt& ended, shard_response response)
{
    const auto found = running_.find(static_cast<std::uint64_t>(ended.query));
    if (found == running_.end()) {
        state_->counted.count("late_answers");
        return;
    }
    auto& run = *found->second;
    run.sent.erase(static_cast<std::uint64_t>(ended.id));
    const auto& in_force = *run.context.in_force;
    json body;
    if (response.outcome == attempt_outcome::answered) {
        auto parsed = parse_json(response.body);
        if (parsed)
            body = std::move(*parsed);
        const auto name = port_->name_of_attempt(ended.id);
        response.outcome = check_answer(
            body,
            {name,
             in_force.service_of(ended.upstream).id,
             ended.range,
             ended.snapshot});
    }
    if (run.context.in_force == state_->in_force)
        state_->snapshots.observe(
            ended.upstream, response.report.snapshots, state_->loop.now());
    attempt_result result;
    result.id = ended.id;
    result.outcome = response.outcome;
    result.sent = response.sent;
    result.report = response.report;
    result.elapsed = response.elapsed;
    query_actions actions;
    random_replica policy{in_force, state_->random};
    const bool merged =
        run.state.on_result(result, policy, state_->loop.now(), actions);
    if (merged)
        run.records[ended.part] = std::move(body["records"]);
    carry_out(run, actions);
}

void search_runner::on_deadline(query_id id)
{
    const auto found = running_.find(static_cast<std::uint64_t>(id));
    if (found == running_.end())
        return;
    query_actions actions;
    found->second->state.on_time(state_->loop.now(), actions);
    carry_out(*found->second, actions);
}

void search_runner::finish(running_search& run)
{
    const auto id = static_cast<std::uint64_t>(run.state.start().id);
    const auto elapsed = state_->loop.now() - run.context.arrived;
    state_->counted.latency("query", elapsed);
    auto response = render(run);
    log_event(
        log_level::debug,
        "query_done",
        {{"request", run.context.request_id},
         {"query", id},
         {"status", response.status},
         {"version", run.context.in_force->version},
         {"attempts", run.state.attempts()},
         {"elapsed_us",
          std::chrono::duration_cast<microseconds>(elapsed).count()}});
    answer_(run.context.exchange, std::move(response));
    running_.erase(id);
}

http_response search_runner::render(running_search& run) const
{
    const auto coverage = run.state.coverage();
    if (coverage <= 0 || coverage < run.minimum) {
        auto kind = error_kind::coverage_too_low;
        if (!run.state.anything_sent())
            kind = error_kind::no_capacity;
        return refusal(
            {kind,
             "coverage is " + std::to_string(coverage) + ", wanted " +
                 std::to_string(run.minimum)},
            run.context.request_id,
            retry_after);
    }
    json missing = json::array();
    for (const auto& gap : run.state.missing())
        missing.push_back(
            {{"range", {gap.range.first, gap.range.last}},
             {"reason", name_of(gap.reason)}});
    json records = json::array();
    for (auto& part : run.records) {
        for (auto& record : part)
            records.push_back(std::move(record));
    }
    const bool complete = missing.empty();
    const json body{
        {"request_id", run.context.request_id},
        {"answer", complete ? "complete" : "partial"},
        {"snapshot", run.state.start().snapshot},
        {"bundle_version", run.context.in_force->version},
        {"coverage", {{"fraction", coverage}, {"missing", missing}}},
        {"records", std::move(records)},
        {"attempts", run.state.attempts()},
        {"shards", run.state.plan().parts.size()},
    };
    http_response response;
    response.status = complete ? 200 : http_partial;
    response.headers = {
        {"Coverage", std::to_string(coverage)},
        {"Answer", complete ? "complete" : "partial"}};
    response.body = body.dump();
    return response;
}

} // namespace peridotward
