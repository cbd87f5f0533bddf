#pragma once

#include <peridotward/core/query/query.hpp>

#include <algorithm>

namespace peridotward {

template<class Replica, class Hedge>
void query::begin(
    query_policy<Replica, Hedge> policy, time_point now, query_actions& out)
{
    begin_time_ = now;
    for (std::uint32_t part = 0; part < parts_.size(); ++part)
        start_attempt(part, attempt_kind::first, policy, now, out);
    finish_if_settled(out);
}

template<class Replica, class Hedge>
bool query::on_result(
    const attempt_result& ended,
    query_policy<Replica, Hedge> policy,
    time_point now,
    query_actions& out)
{
    const auto number = number_of(ended.id);
    if (number == 0 || finished_)
        return false;
    const auto part = attempts_[number - 1].part;
    const bool was_hedge = attempts_[number - 1].hedge;
    record_end(number, ended, *policy.budget);
    auto& state = parts_[part];
    if (settled(state))
        return false;
    const bool merged = ended.outcome == attempt_outcome::answered;
    if (merged) {
        merge(part, out);
    }
    else if (!was_hedge || ended.sent) {
        state.last_outcome = ended.outcome;
    }
    const bool immediate = !ended.sent && state.tries == 0 &&
                           state.redirects <= immediate_redirects;
    if (!merged && immediate)
        start_attempt(part, attempt_kind::first, policy, now, out);
    else if (!merged && state.in_flight == 0)
        schedule_retry(part, policy, now);
    else if (!merged && was_hedge && !ended.sent)
        schedule_wakeup(part, now + backoff(state, *policy.random));
    finish_if_settled(out);
    return merged;
}

template<class Replica, class Hedge>
void query::on_timeout(
    query_policy<Replica, Hedge> policy, time_point now, query_actions& out)
{
    if (finished_)
        return;
    if (now >= start_.deadline) {
        finish_at_deadline(out);
        return;
    }
    while (!wakeups_.empty() && wakeups_.top().due <= now) {
        const auto wakeup = wakeups_.top();
        wakeups_.pop();
        const auto& state = parts_[wakeup.part];
        if (settled(state) || wakeup.serial != state.wakeup_serial)
            continue;
        start_attempt(wakeup.part, next_kind(state), policy, now, out);
    }
    finish_if_settled(out);
}

template<class Replica, class Hedge>
bool query::replan(
    snapshot_id snapshot,
    query_policy<Replica, Hedge> policy,
    time_point now,
    query_actions& out)
{
    if (finished_ || snapshot <= start_.snapshot || replans_ >= max_replans ||
        policy.budget->overloaded())
        return false;
    duration needed{};
    for (const auto& part : plan_.parts)
        needed = std::max(
            needed, policy.hedge->delay(part.service).value_or(duration{}));
    if (now + needed >= start_.deadline)
        return false;
    for (std::uint32_t part = 0; part < parts_.size(); ++part)
        cancel_open(part, out);
    drop_unsent(out);
    start_.snapshot = snapshot;
    ++replans_;
    plan_parts();
    begin(policy, now, out);
    return true;
}

template<class Replica, class Hedge>
void query::start_attempt(
    std::uint32_t part,
    attempt_kind kind,
    query_policy<Replica, Hedge> policy,
    time_point now,
    query_actions& out)
{
    auto& state = parts_[part];
    const auto service = plan_.parts[part].service;
    const bool hedge = kind == attempt_kind::hedge;
    const bool in_time =
        now + policy.hedge->min_latency(service) < start_.deadline;
    if (!in_time || state.tries >= max_tries ||
        state.tried_count == state.tried.size()) {
        if (state.in_flight == 0)
            give_up(part);
        return;
    }
    const auto chosen = policy.replica->choose(
        {start_.in_force->at(service).upstreams,
         std::span{state.tried}.first(state.tried_count),
         start_.snapshot,
         hedge,
         now});
    if (!chosen) {
        ++state.redirects;
        reset_tried(state);
        if (hedge) {
            if (state.redirects < max_redirects)
                schedule_wakeup(part, now + backoff(state, *policy.random));
            return;
        }
        out.snapshot_lost =
            out.snapshot_lost ||
            state.last_outcome == attempt_outcome::wrong_snapshot;
        schedule_retry(part, policy, now);
        return;
    }
    const bool extra = kind != attempt_kind::first;
    // A hedge of an overdue part may spend the reserve for retries.
    const bool as_hedge = hedge && !overdue(now);
    const bool granted =
        !extra || (as_hedge ? policy.budget->try_spend_hedge()
                            : policy.budget->try_spend_retry(now));
    if (!granted) {
        const auto delay = policy.hedge->delay(service).value_or(duration{});
        const auto jittered = backoff(state, *policy.random);
        schedule_wakeup(part, now + std::max(delay, jittered));
        return;
    }
    send(part, kind, *chosen, out);
    schedule_hedge(part, policy, now);
}

template<class Replica, class Hedge>
void query::schedule_retry(
    std::uint32_t part, query_policy<Replica, Hedge> policy, time_point now)
{
    const auto& state = parts_[part];
    if (state.tries >= max_tries || state.redirects >= max_redirects) {
        give_up(part);
        return;
    }
    schedule_wakeup(part, now + backoff(state, *policy.random));
}

template<class Replica, class Hedge>
void query::schedule_hedge(
    std::uint32_t part, query_policy<Replica, Hedge> policy, time_point now)
{
    const auto& state = parts_[part];
    if (state.tries >= max_tries || state.redirects >= max_redirects)
        return;
    const auto delay = policy.hedge->delay(plan_.parts[part].service);
    if (delay)
        schedule_wakeup(part, now + *delay);
}

} // namespace peridotward
