#include "owners/slot_queue.hpp"

namespace peridotward {

namespace {

std::uint64_t number_of(resource_id id)
{
    return static_cast<std::uint64_t>(id);
}

std::uint64_t number_of(execution_id id)
{
    return static_cast<std::uint64_t>(id);
}

} // namespace

slot_queue::attempt_end
slot_queue::try_run(const slot_request& work, time_point now)
{
    if (now >= work.deadline) {
        work.refuse(false);
        return attempt_end::done;
    }
    const auto upstream = leases_->voters().find(work.upstream);
    if (!upstream.valid()) {
        work.refuse(true);
        return attempt_end::done;
    }
    const auto granted =
        budgets_->try_begin(upstream, work.priority, work.hedge, now);
    if (granted) {
        work.run(*granted);
        return attempt_end::done;
    }
    switch (granted.error()) {
    case budget_refusal::not_owner:
        work.refuse(true);
        return attempt_end::done;
    case budget_refusal::removed:
    case budget_refusal::draining:
        work.refuse(false);
        return attempt_end::done;
    case budget_refusal::no_slot:
    case budget_refusal::domain_limit:
    case budget_refusal::kept_for_more:
        break;
    }
    if (!work.hedge)
        return attempt_end::must_wait;
    work.refuse(false);
    return attempt_end::done;
}

void slot_queue::submit(execution_id id, slot_request work, time_point now)
{
    auto& waiting = lines_[number_of(work.upstream)];
    const wait_key key{work.priority, work.deadline, id};
    const bool first = waiting.empty() || key < waiting.begin()->first;
    if ((first || work.hedge) && try_run(work, now) == attempt_end::done)
        return;
    keys_.emplace(number_of(id), wait_place{work.upstream, key});
    waiting.emplace(key, std::move(work));
    if (waiting.size() <= max_waiting)
        return;
    const auto last = std::prev(waiting.end());
    keys_.erase(number_of(last->first.id));
    const auto refused = std::move(last->second);
    waiting.erase(last);
    refused.refuse(false);
}

bool slot_queue::withdraw(execution_id id)
{
    const auto found = keys_.find(number_of(id));
    if (found == keys_.end())
        return false;
    lines_[number_of(found->second.upstream)].erase(found->second.key);
    keys_.erase(found);
    return true;
}

slot_request slot_queue::take_first(line& waiting)
{
    const auto first = waiting.begin();
    auto work = std::move(first->second);
    keys_.erase(number_of(first->first.id));
    waiting.erase(first);
    return work;
}

void slot_queue::on_free(resource_id upstream, time_point now)
{
    run_line(upstream, now);
}

void slot_queue::run_line(resource_id upstream, time_point now)
{
    auto& waiting = lines_[number_of(upstream)];
    while (!waiting.empty()) {
        const auto id = waiting.begin()->first.id;
        const auto key = waiting.begin()->first;
        auto work = take_first(waiting);
        if (try_run(work, now) == attempt_end::done)
            continue;
        keys_.emplace(number_of(id), wait_place{upstream, key});
        waiting.emplace(key, std::move(work));
        return;
    }
}

void slot_queue::on_time(time_point now)
{
    std::vector<slot_request> expired;
    std::vector<resource_id> busy;
    for (auto& [upstream, waiting] : lines_) {
        if (waiting.empty())
            continue;
        busy.push_back(resource_id{upstream});
        for (auto entry = waiting.begin(); entry != waiting.end();) {
            if (now < entry->first.deadline) {
                ++entry;
                continue;
            }
            keys_.erase(number_of(entry->first.id));
            expired.push_back(std::move(entry->second));
            entry = waiting.erase(entry);
        }
    }
    for (const auto& work : expired)
        work.refuse(false);
    for (const auto upstream : busy)
        run_line(upstream, now);
}

} // namespace peridotward
