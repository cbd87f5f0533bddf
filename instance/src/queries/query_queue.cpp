#include "queries/query_queue.hpp"

namespace peridotward {

query_queue::query_queue(
    instance_state& state, begin_handler begin, answer_handler answer)
    : state_{&state}, begin_{std::move(begin)}, answer_{std::move(answer)}
{}

void query_queue::arrive(std::uint64_t id, queued_query wanted)
{
    const auto& context = wanted.context;
    const admission_request request{
        id, context.priority, context.arrived, context.deadline};
    auto& lane = admission_.lane(context.in_force->at(wanted.wanted));
    waiting_.emplace(id, std::move(wanted));
    lane.arrive(request, state_->loop.now(), decided_);
    settle();
}

void query_queue::on_finished(
    const search& definition, time_point started, double stalled)
{
    admission_.lane(definition)
        .on_finished(started, stalled, state_->loop.now(), decided_);
    settle();
}

bool query_queue::caller_gone(exchange_id exchange)
{
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
        const auto& [id, entry] = *it;
        if (entry.context.exchange != exchange)
            continue;
        admission_.lane(entry.context.in_force->at(entry.wanted)).withdraw(id);
        waiting_.erase(it);
        return true;
    }
    return false;
}

/// A search may end as it begins and let in another, so this goes on until
/// nothing is left to do.
void query_queue::settle()
{
    if (settling_)
        return;
    settling_ = true;
    while (!decided_.start.empty() || !decided_.refuse.empty()) {
        const auto decided = std::exchange(decided_, {});
        for (const auto& refused : decided.refuse)
            refuse(refused);
        for (const auto id : decided.start)
            begin_(id, std::move(waiting_.extract(id).mapped()));
    }
    settling_ = false;
    state_->extras.queue_waiting(!waiting_.empty());
    arm();
}

void query_queue::refuse(const admission_refusal& refused)
{
    const auto entry = waiting_.extract(refused.id);
    const auto& context = entry.mapped().context;
    const auto& definition = context.in_force->at(entry.mapped().wanted);
    state_->counted.count("admission_refusals");
    answer_(
        context.exchange,
        refusal(
            {refused.reason,
             "search \"" + definition.id + "\" has " +
                 std::to_string(waiting_.size()) + " queries waiting"},
            context.request_id,
            std::chrono::ceil<milliseconds>(refused.retry_after)));
}

void query_queue::arm()
{
    const auto due = admission_.next_wakeup();
    if (due >= armed_)
        return;
    armed_ = due;
    state_->loop.at(due, [this] {
        armed_ = time_point::max();
        admission_.on_time(state_->loop.now(), decided_);
        settle();
    });
}

} // namespace peridotward
