#include <peridotward/core/gather/forwarded_request.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotward {

namespace {

/// While the median latency is unknown, a hedge is sent after the target
/// latency divided by this, so that its answer can still meet the target.
constexpr int default_hedge_divisor = 3;
/// Delay before a hedge of an attempt at a replica that reports its speed, in
/// expected latencies. The estimate explains slow moments, which the quantile
/// of all latencies would hedge; an earlier hedge exceeds five extra attempts
/// in a hundred.
constexpr double overdue_hedge_factor = 2.6;
/// Delay before another try of a hedge that had no budget or no replica.
constexpr milliseconds hedge_retry_interval{10};
/// Tolerance for rounding errors in the fraction of shards.
constexpr double share_tolerance = 1e-9;

attempt_execution execution_after(forward_outcome outcome) noexcept
{
    switch (outcome) {
    case forward_outcome::answered:
    case forward_outcome::failed:
    case forward_outcome::broken:
    case forward_outcome::interrupted:
        break;
    case forward_outcome::refused:
    case forward_outcome::misdirected:
        return attempt_execution::refused;
    case forward_outcome::unreachable:
    case forward_outcome::unsent:
        return attempt_execution::not_sent;
    }
    return attempt_execution::may_have_run;
}

} // namespace

forwarded_request::forwarded_request(
    pinned_route route,
    std::vector<forward_service_index> services,
    forward_times times,
    client_account_ptr account)
    : route_{std::move(route)}, account_{std::move(account)}, times_{times}
{
    full_value_passed_ = times.full_value_until <= times.arrived;
    parts_.resize(services.size());
    for (std::size_t i = 0; i < services.size(); ++i)
        parts_[i].service = services[i];
    attempts_.reserve(parts_.size() + 2);
}

std::uint32_t forwarded_request::spare_parts() const noexcept
{
    const auto total = static_cast<double>(parts_.size());
    const double min_share = route_->scatters() ? route_->min_shard_share : 1.0;
    const auto needed = static_cast<std::uint32_t>(
        std::ceil(min_share * total - share_tolerance));
    return part_count() - std::min(needed, part_count());
}

bool forwarded_request::has_enough_parts() const noexcept
{
    return answered_ > 0 && answered_ + spare_parts() >= part_count();
}

bool forwarded_request::has_failed() const noexcept
{
    return given_up_ == part_count() || given_up_ > spare_parts();
}

attempt_execution forwarded_request::execution() const noexcept
{
    auto least_excluded = attempt_execution::not_sent;
    for (const auto& attempt : attempts_)
        least_excluded = std::max(least_excluded, attempt.execution);
    return least_excluded;
}

forward_end forwarded_request::failure_kind(bool deadline_passed) const noexcept
{
    switch (choose_reply(
        {execution(), route_->scatters(), deadline_passed, std::nullopt})) {
    case failure_reply::not_run:
        return forward_end::not_run;
    case failure_reply::timed_out:
        return forward_end::timed_out;
    case failure_reply::forwarded:
    case failure_reply::failed:
        break;
    }
    return forward_end::failed;
}

time_point forwarded_request::earliest_retry(
    const forward_context& context, time_point now) const
{
    if (shed_)
        return now + load_shedder::adjust_interval;
    std::vector<time_point> retry_times;
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        if (parts_[part].given_up)
            retry_times.push_back(context.selector->earliest_retry(
                service(part), *context.fleet, now));
    }
    std::sort(retry_times.begin(), retry_times.end());
    // A partial answer can lack the parts with the latest times.
    while (retry_times.size() > 1 &&
           given_up_ - retry_times.size() < spare_parts())
        retry_times.pop_back();
    return retry_times.empty() ? now : retry_times.back();
}

bool forwarded_request::survived() const noexcept
{
    return std::none_of(parts_.begin(), parts_.end(), [](const auto& part) {
        return part.interruptions > 0 && !part.answered;
    });
}

unusable_replicas forwarded_request::count_unusable(
    const forward_context& context, time_point now) const
{
    unusable_replicas total;
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        if (!parts_[part].given_up)
            continue;
        const auto counted = context.selector->count_unusable(
            service(part), *context.fleet, now);
        total.excluded += counted.excluded;
        total.paused += counted.paused;
        total.unreachable += counted.unreachable;
        total.rate_limited += counted.rate_limited;
    }
    return total;
}

void forwarded_request::finish(
    forward_end end, const forward_context& context, forward_actions& out)
{
    ended_ = true;
    for (const auto& discarded : out.sends) {
        auto& attempt = attempts_[discarded.attempt];
        attempt.open = false;
        --parts_[attempt.part].open;
        context.catalog->at(attempt.to).health.on_cancelled();
        context.selector->release(attempt.to, attempt.sent_at);
        if (attempt.extra)
            context.budgets->refund(
                service(attempt.part).name, attempt.sent_at);
    }
    out.sends.clear();
    out.end = end;
}

void forwarded_request::give_up(std::uint32_t part) noexcept
{
    auto& state = parts_[part];
    if (state.given_up || state.answered)
        return;
    state.given_up = true;
    state.hedge_at = time_point::max();
    state.retry_at = time_point::max();
    ++given_up_;
}

bool forwarded_request::send(
    std::uint32_t part,
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    auto& state = parts_[part];
    const auto& target = service(part);
    const auto chosen = context.selector->choose(
        target, state.tried, profile.median(), *context.fleet, now);
    if (!chosen)
        return false;
    const bool is_hedge = state.open > 0;
    const auto& replica = context.catalog->at(*chosen);
    // A hedge helps only if the replica can serve it without queueing.
    if (is_hedge &&
        (context.budgets->refuses_often(target.name) ||
         (shedder_ != nullptr && !shedder_->has_spare_capacity()) ||
         !replica.health.has_free_slot(replica.published.slots, now))) {
        context.selector->release(*chosen, now);
        return false;
    }
    const bool extra = state.arrivals > 0;
    const auto use =
        is_hedge ? extra_attempt_kind::hedge : extra_attempt_kind::retry;
    if (extra && !context.budgets->try_spend(target.name, use, now)) {
        context.selector->release(*chosen, now);
        return false;
    }
    state.tried.push_back(*chosen);
    ++state.open;
    ++state.ran;
    ++state.arrivals;
    extra_attempts_ += extra ? 1 : 0;
    context.catalog->at(*chosen).health.on_sent(now);
    auto wait = profile.hedge_after() > duration::zero()
                    ? profile.hedge_after()
                    : route_->target_latency / default_hedge_divisor;
    if (replica.health.speed().reported() &&
        profile.median() > duration::zero())
        wait = std::chrono::duration_cast<duration>(
            profile.median() *
            (overdue_hedge_factor * replica.health.slowness(now)));
    const bool may_hedge = !trial_ &&
                           route_->safety == retry_safety::idempotent &&
                           state.ran < route_->max_attempts;
    state.hedge_at = may_hedge ? now + wait : time_point::max();
    out.sends.push_back(
        {static_cast<std::uint32_t>(attempts_.size()), part, *chosen, extra});
    attempts_.push_back({part, *chosen, now, extra, true});
    return true;
}

std::optional<account_index>
forwarded_request::account_index_in_config() const noexcept
{
    if (account_ == nullptr)
        return std::nullopt;
    return static_cast<account_index>(
        account_.get() - config()->accounts.accounts().data());
}

bool forwarded_request::try_admit(
    const forward_context& context,
    const latency_profile& profile,
    time_point now)
{
    if (context.shedders == nullptr)
        return true;
    shedder_ = context.shedders->of(service(0).name, parts_.size());
    const bool in_time = now + profile.median() < times_.full_value_until;
    return shedder_->try_admit(
        {priority(),
         in_time ? request_freshness::fresh : request_freshness::late,
         spare_parts(),
         account_index_in_config()},
        now);
}

void forwarded_request::begin(
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    if (!try_admit(context, profile, now)) {
        shed_ = true;
        finish(forward_end::not_run, context, out);
        return;
    }
    for (std::uint32_t part = 0; part < parts_.size(); ++part)
        context.budgets->on_request(service(part).name, now);
    send_first_attempts(context, profile, now, out);
    // Nothing was sent yet, so it is certain that no part was run.
    if (has_failed())
        finish(forward_end::not_run, context, out);
}

void forwarded_request::send_first_attempts(
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        auto& state = parts_[part];
        if (state.begun || state.given_up)
            continue;
        state.begun = true;
        if (!send(part, context, profile, now, out))
            give_up(part);
        else if (trial_)
            return;
    }
}

void forwarded_request::update_trial(forward_outcome outcome) noexcept
{
    if (!trial_)
        return;
    switch (outcome) {
    case forward_outcome::answered:
    case forward_outcome::failed:
    case forward_outcome::broken:
        trial_ = false;
        break;
    case forward_outcome::interrupted:
        for (std::uint32_t part = 0; part < parts_.size(); ++part)
            give_up(part);
        break;
    case forward_outcome::refused:
    case forward_outcome::misdirected:
    case forward_outcome::unreachable:
    case forward_outcome::unsent:
        break;
    }
}

void forwarded_request::retry(
    std::uint32_t part,
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    auto& state = parts_[part];
    if (state.answered || state.given_up || state.open > 0)
        return;
    const bool may_retry =
        route_->safety == retry_safety::idempotent || state.ran == 0;
    const bool attempts_left = state.ran < route_->max_attempts &&
                               state.refusals < max_refusals &&
                               state.interruptions < max_interruptions;
    if (!may_retry || !attempts_left) {
        give_up(part);
        return;
    }
    if (send(part, context, profile, now, out))
        return;
    // All replicas were tried. One that refused the part but now reports a free
    // slot can be tried again; a full one must not be retried at once.
    std::erase_if(state.tried, [&](replica_number number) {
        const auto& tried = context.catalog->at(number);
        const bool refused =
            std::find(state.refused.begin(), state.refused.end(), number) !=
            state.refused.end();
        return refused &&
               tried.health.reported_free_slot(tried.published.slots, now);
    });
    state.refused.clear();
    if (!send(part, context, profile, now, out) &&
        !defer_retry(part, context, profile, now))
        give_up(part);
}

bool forwarded_request::defer_retry(
    std::uint32_t part,
    const forward_context& context,
    const latency_profile& profile,
    time_point now)
{
    auto& state = parts_[part];
    const bool in_time =
        now + retry_pause + profile.median() < times_.full_value_until;
    // A request of which nothing has run is refused at once instead, so that
    // its caller can go elsewhere.
    if (!in_time || trial_ || !may_have_run_ ||
        route_->safety != retry_safety::idempotent)
        return false;
    // Replicas that failed once may answer the next time.
    std::erase_if(state.tried, [&](replica_number number) {
        return !context.catalog->at(number).health.unreachable(now);
    });
    state.retry_at = now + retry_pause;
    return true;
}

void forwarded_request::hedge(
    std::uint32_t part,
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    auto& state = parts_[part];
    if (!send(part, context, profile, now, out))
        state.hedge_at = now + hedge_retry_interval;
}

bool forwarded_request::on_result(
    std::uint32_t attempt,
    forward_outcome outcome,
    const forward_context& context,
    latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    auto& ended = attempts_[attempt];
    if (!ended.open)
        return false;
    ended.open = false;
    ended.execution = execution_after(outcome);
    auto& part = parts_[ended.part];
    --part.open;
    auto& health = context.catalog->at(ended.to).health;
    if (const auto load = health.take_load_report(); load && shedder_) {
        // The load reported with an answer includes the request itself.
        const bool included = outcome == forward_outcome::answered ||
                              outcome == forward_outcome::failed;
        shedder_->on_load(
            ended.part, included ? load->after_one() : *load, now);
    }
    context.budgets->on_attempt(
        service(ended.part).name, outcome == forward_outcome::refused);
    switch (outcome) {
    case forward_outcome::answered:
        health.on_answered(now - ended.sent_at, profile.median(), now);
        profile.add(now - ended.sent_at);
        may_have_run_ = true;
        break;
    case forward_outcome::failed:
    case forward_outcome::broken:
    case forward_outcome::interrupted:
        health.on_failed(now);
        may_have_run_ = true;
        part.interruptions += outcome == forward_outcome::interrupted ? 1 : 0;
        break;
    case forward_outcome::refused:
        health.on_shed(now);
        --part.ran;
        ++part.refusals;
        part.refused.push_back(ended.to);
        break;
    case forward_outcome::misdirected:
        health.on_unreachable(now);
        context.catalog->mark_misdirected(ended.to);
        --part.ran;
        ++part.refusals;
        break;
    case forward_outcome::unreachable:
    case forward_outcome::unsent:
        if (outcome == forward_outcome::unreachable)
            health.on_unreachable(now);
        else
            health.on_cancelled();
        --part.ran;
        --part.arrivals;
        ++part.refusals;
        context.selector->release(ended.to, ended.sent_at);
        if (ended.extra)
            context.budgets->refund(service(ended.part).name, ended.sent_at);
        break;
    }
    if (ended_ || part.answered)
        return false;
    const auto ended_part = ended.part;
    update_trial(outcome);
    if (outcome != forward_outcome::answered) {
        retry(ended_part, context, profile, now, out);
        if (!trial_ || parts_[ended_part].open == 0)
            send_first_attempts(context, profile, now, out);
        finish_if_due(context, now, out);
        return false;
    }
    part.answered = true;
    part.hedge_at = time_point::max();
    part.retry_at = time_point::max();
    ++answered_;
    if (part.given_up) {
        part.given_up = false;
        --given_up_;
    }
    for (const auto& other : attempts_) {
        if (other.open && attempts_[attempt].part == other.part)
            context.catalog->at(other.to).health.on_hedge_won(
                now - other.sent_at, profile.median(), now);
    }
    send_first_attempts(context, profile, now, out);
    finish_if_due(context, now, out);
    return true;
}

time_point forwarded_request::late_deadline() const noexcept
{
    const auto late_from = std::max(times_.full_value_until, times_.arrived);
    return late_from + route_->target_latency / late_wait_divisor;
}

bool forwarded_request::is_partial_due(time_point now) const noexcept
{
    const bool all_settled =
        std::all_of(parts_.begin(), parts_.end(), [](const auto& part) {
            return part.answered || part.given_up;
        });
    const bool full_value_ends =
        now >= times_.full_value_until && !full_value_passed_;
    return has_enough_parts() &&
           (all_settled || full_value_ends || now >= late_deadline() ||
            now >= times_.answer_deadline);
}

void forwarded_request::finish_if_due(
    const forward_context& context, time_point now, forward_actions& out)
{
    if (ended_)
        return;
    if (answered_ == parts_.size())
        finish(forward_end::complete, context, out);
    else if (has_failed())
        finish(failure_kind(false), context, out);
    else if (is_partial_due(now))
        finish(forward_end::partial, context, out);
    else if (now >= times_.answer_deadline)
        finish(failure_kind(true), context, out);
    full_value_passed_ = full_value_passed_ || now >= times_.full_value_until;
    late_deadline_passed_ = now >= late_deadline();
}

void forwarded_request::on_timeout(
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    finish_if_due(context, now, out);
    if (ended_)
        return;
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        auto& state = parts_[part];
        if (state.hedge_at <= now)
            hedge(part, context, profile, now, out);
        if (state.retry_at <= now) {
            state.retry_at = time_point::max();
            retry(part, context, profile, now, out);
        }
    }
    finish_if_due(context, now, out);
}

time_point forwarded_request::next_wakeup() const noexcept
{
    auto due = times_.answer_deadline;
    if (!full_value_passed_)
        due = std::min(due, times_.full_value_until);
    else if (!late_deadline_passed_)
        due = std::min(due, late_deadline());
    for (const auto& part : parts_) {
        if (!part.answered && !part.given_up)
            due = std::min({due, part.hedge_at, part.retry_at});
    }
    return due;
}

} // namespace peridotward
