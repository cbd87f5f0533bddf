#include "owners/slot_queue.hpp"

namespace peridotward {

namespace {

std::uint64_t to_integer(resource_id id)
{
    return static_cast<std::uint64_t>(id);
}

std::uint64_t to_integer(execution_id id)
{
    return static_cast<std::uint64_t>(id);
}

} // namespace

/// Calls `refuse` with true if another instance may hold the lease of the
/// upstream, so that the request can be sent there, and with false otherwise.
slot_queue::try_result
slot_queue::try_run(const slot_request& request, time_point now)
{
    if (now >= request.deadline) {
        request.refuse(false);
        return try_result::done;
    }
    const auto upstream = leases_->voters().find(request.upstream);
    if (!upstream.valid()) {
        request.refuse(true);
        return try_result::done;
    }
    const auto grant =
        budgets_->try_begin(upstream, request.priority, request.hedge, now);
    if (grant) {
        request.run(*grant);
        return try_result::done;
    }
    switch (grant.error()) {
    case budget_refusal::not_owner:
        request.refuse(true);
        return try_result::done;
    case budget_refusal::removed:
    case budget_refusal::draining:
        request.refuse(false);
        return try_result::done;
    case budget_refusal::no_slot:
    case budget_refusal::domain_limit:
    case budget_refusal::reserved_for_priority:
        break;
    }
    if (!request.hedge)
        return try_result::no_free_slot;
    request.refuse(false);
    return try_result::done;
}

void slot_queue::submit(execution_id id, slot_request request, time_point now)
{
    auto& waiting = wait_lists_[to_integer(request.upstream)];
    const wait_key key{request.priority, request.deadline, id};
    const bool first = waiting.empty() || key < waiting.begin()->first;
    if ((first || request.hedge) && try_run(request, now) == try_result::done)
        return;
    positions_.emplace(to_integer(id), wait_position{request.upstream, key});
    waiting.emplace(key, std::move(request));
    if (waiting.size() <= max_waiting)
        return;
    const auto last = std::prev(waiting.end());
    positions_.erase(to_integer(last->first.id));
    const auto refused = std::move(last->second);
    waiting.erase(last);
    refused.refuse(false);
}

bool slot_queue::withdraw(execution_id id)
{
    const auto found = positions_.find(to_integer(id));
    if (found == positions_.end())
        return false;
    wait_lists_[to_integer(found->second.upstream)].erase(found->second.key);
    positions_.erase(found);
    return true;
}

slot_request slot_queue::pop_first(wait_list& waiting)
{
    const auto first = waiting.begin();
    auto request = std::move(first->second);
    positions_.erase(to_integer(first->first.id));
    waiting.erase(first);
    return request;
}

void slot_queue::on_slot_freed(resource_id upstream, time_point now)
{
    run_waiting(upstream, now);
}

void slot_queue::run_waiting(resource_id upstream, time_point now)
{
    auto& waiting = wait_lists_[to_integer(upstream)];
    while (!waiting.empty()) {
        const auto id = waiting.begin()->first.id;
        const auto key = waiting.begin()->first;
        auto request = pop_first(waiting);
        if (try_run(request, now) == try_result::done)
            continue;
        positions_.emplace(to_integer(id), wait_position{upstream, key});
        waiting.emplace(key, std::move(request));
        return;
    }
}

void slot_queue::on_timeout(time_point now)
{
    std::vector<slot_request> expired;
    std::vector<resource_id> upstreams;
    for (auto& [upstream, waiting] : wait_lists_) {
        if (waiting.empty())
            continue;
        upstreams.push_back(resource_id{upstream});
        for (auto entry = waiting.begin(); entry != waiting.end();) {
            if (now < entry->first.deadline) {
                ++entry;
                continue;
            }
            positions_.erase(to_integer(entry->first.id));
            expired.push_back(std::move(entry->second));
            entry = waiting.erase(entry);
        }
    }
    for (const auto& request : expired)
        request.refuse(false);
    for (const auto upstream : upstreams)
        run_waiting(upstream, now);
}

} // namespace peridotward
