#include "queries/query_queue.hpp"

namespace peridotward {

query_queue::query_queue(
    instance_state& state, start_handler start_query, answer_handler answer)
    : state_{&state},
      start_query_{std::move(start_query)},
      answer_{std::move(answer)}
{}

void query_queue::submit(std::uint64_t id, queued_query query)
{
    const auto& context = query.context;
    const admission_request request{
        id, context.priority, context.arrived, context.deadline};
    auto& queue = admission_.queue(context.in_force->at(query.search));
    waiting_.emplace(id, std::move(query));
    queue.arrive(request, state_->loop.now(), decisions_);
    process_decisions();
}

void query_queue::on_finished(
    const search& definition, time_point started, double stalled_share)
{
    admission_.queue(definition)
        .on_finished(started, stalled_share, state_->loop.now(), decisions_);
    process_decisions();
}

bool query_queue::on_caller_disconnect(exchange_id exchange)
{
    for (auto position = waiting_.begin(); position != waiting_.end();
         ++position) {
        const auto& [id, entry] = *position;
        if (entry.context.exchange != exchange)
            continue;
        admission_.queue(entry.context.in_force->at(entry.search)).withdraw(id);
        waiting_.erase(position);
        return true;
    }
    return false;
}

/// A query may end while it starts, which can admit another one, so the loop
/// runs until no decision is left. Nested calls return at once.
void query_queue::process_decisions()
{
    if (processing_)
        return;
    processing_ = true;
    while (!decisions_.start.empty() || !decisions_.refuse.empty()) {
        const auto decisions = std::exchange(decisions_, {});
        for (const auto& refusal : decisions.refuse)
            reject(refusal);
        for (const auto id : decisions.start)
            start_query_(id, std::move(waiting_.extract(id).mapped()));
    }
    processing_ = false;
    state_->extra_attempts.set_queries_waiting(!waiting_.empty());
    schedule_wakeup();
}

void query_queue::reject(const admission_refusal& refusal)
{
    const auto entry = waiting_.extract(refusal.id);
    const auto& context = entry.mapped().context;
    const auto& definition = context.in_force->at(entry.mapped().search);
    state_->metrics.increment("admission_refusals");
    answer_(
        context.exchange,
        error_response(
            {refusal.reason,
             "search \"" + definition.id + "\" has " +
                 std::to_string(waiting_.size()) + " queries waiting"},
            context.request_id,
            std::chrono::ceil<milliseconds>(refusal.retry_after)));
}

void query_queue::schedule_wakeup()
{
    const auto due = admission_.next_wakeup();
    if (due >= next_wakeup_)
        return;
    next_wakeup_ = due;
    state_->loop.schedule_at(due, [this] {
        next_wakeup_ = time_point::max();
        admission_.on_timeout(state_->loop.now(), decisions_);
        process_decisions();
    });
}

} // namespace peridotward
