#include "search/search_queue.hpp"

namespace peridotward {

search_queue::search_queue(
    node_state& state, begin_handler begin, answer_handler answer)
    : state_{&state}, begin_{std::move(begin)}, answer_{std::move(answer)}
{}

void search_queue::arrive(std::uint64_t id, waiting_search wanted)
{
    const auto& context = wanted.context;
    const admission_request request{
        id, context.priority, context.arrived, context.deadline};
    auto& lane = admission_.lane(context.in_force->at(wanted.wanted));
    waiting_.emplace(id, std::move(wanted));
    lane.arrive(request, state_->loop.now(), decided_);
    settle();
}

void search_queue::on_finished(
    const search& definition, time_point started, double stalled)
{
    admission_.lane(definition)
        .on_finished(started, stalled, state_->loop.now(), decided_);
    settle();
}

bool search_queue::caller_gone(exchange_id exchange)
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
void search_queue::settle()
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

void search_queue::refuse(const admission_refusal& refused)
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

void search_queue::arm()
{
    const auto due = admission_.next_wakeup();
    if (due >= armed_)
        return;
    armed_ = due;
    state_->loop.at(due, [this] {
        armed_ = time_point::max();
        admission_.on_timeout(state_->loop.now(), decided_);
        settle();
    });
}

} // namespace peridotward
