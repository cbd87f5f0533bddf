#include <peridotward/core/gather/forwarded_request.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotward {

namespace {

/// While the usual latency is not known, a hedge is sent after this part of
/// the target latency: early enough to be answered within it.
constexpr int unknown_hedge_divisor = 3;
/// Wait before the next look when a wanted hedge had no budget or replica.
constexpr milliseconds hedge_pause{10};
/// Rounding of shares of shards.
constexpr double share_tolerance = 1e-9;

} // namespace

forwarded_request::forwarded_request(
    forward_config_ptr config,
    const forward_route& route,
    std::vector<forward_service_index> services,
    forward_times times)
    : config_{std::move(config)}, route_{&route}, times_{times}
{
    worth_passed_ = times.full_value_until <= times.arrived;
    parts_.resize(services.size());
    for (std::size_t i = 0; i < services.size(); ++i)
        parts_[i].service = services[i];
    attempts_.reserve(parts_.size() + 2);
}

std::uint32_t forwarded_request::spare_parts() const noexcept
{
    const auto total = static_cast<double>(parts_.size());
    const double least = route_->scatters() ? route_->min_shard_share : 1.0;
    const auto needed =
        static_cast<std::uint32_t>(std::ceil(least * total - share_tolerance));
    return part_count() - std::min(needed, part_count());
}

bool forwarded_request::enough() const noexcept
{
    return answered_ > 0 && answered_ + spare_parts() >= part_count();
}

bool forwarded_request::hopeless() const noexcept
{
    return given_up_ == part_count() || given_up_ > spare_parts();
}

forward_end forwarded_request::failure() const noexcept
{
    // A part that is still open may run yet.
    const bool may_run =
        may_have_run_ ||
        std::any_of(attempts_.begin(), attempts_.end(), [](const auto& sent) {
            return sent.open;
        });
    return may_run ? forward_end::failed : forward_end::not_run;
}

time_point forwarded_request::next_chance(
    const forward_context& context, time_point now) const
{
    std::vector<time_point> chances;
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        if (parts_[part].given_up)
            chances.push_back(context.selector->next_chance(
                service(part), *context.fleet, now));
    }
    std::sort(chances.begin(), chances.end());
    // The last ones may stay lost.
    while (chances.size() > 1 && given_up_ - chances.size() < spare_parts())
        chances.pop_back();
    return chances.empty() ? now : chances.back();
}

void forwarded_request::finish(forward_end end, forward_actions& out)
{
    ended_ = true;
    out.sends.clear();
    out.end = end;
}

void forwarded_request::give_up(std::uint32_t part) noexcept
{
    auto& lost = parts_[part];
    if (lost.given_up || lost.answered)
        return;
    lost.given_up = true;
    lost.hedge_at = time_point::max();
    ++given_up_;
}

bool forwarded_request::send(
    std::uint32_t part,
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    auto& wanted = parts_[part];
    const auto& asked = service(part);
    const auto chosen = context.selector->choose(
        asked, wanted.tried, profile.median(), *context.fleet, now);
    if (!chosen)
        return false;
    const bool hedges = wanted.open > 0;
    const auto& replica = context.catalog->at(*chosen);
    // A hedge helps only where it is served at once.
    if (hedges && (context.budgets->pressed(asked.name) ||
                   !replica.health.has_room(replica.published.slots, now)))
        return false;
    const bool extra = wanted.arrivals > 0;
    const auto use = hedges ? repeat_use::hedge : repeat_use::retry;
    if (extra && !context.budgets->take(asked.name, use, now))
        return false;
    wanted.tried.push_back(*chosen);
    ++wanted.open;
    ++wanted.ran;
    ++wanted.arrivals;
    extra_attempts_ += extra ? 1 : 0;
    context.catalog->at(*chosen).health.on_sent(now);
    const auto wait = profile.hedge_after() > duration::zero()
                          ? profile.hedge_after()
                          : route_->target_latency / unknown_hedge_divisor;
    const bool may_hedge = route_->safety == retry_safety::idempotent &&
                           wanted.ran < route_->max_attempts;
    wanted.hedge_at = may_hedge ? now + wait : time_point::max();
    out.sends.push_back(
        {static_cast<std::uint32_t>(attempts_.size()), part, *chosen, extra});
    attempts_.push_back({part, *chosen, now, extra, true});
    return true;
}

void forwarded_request::begin(
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        context.budgets->on_request(service(part).name, now);
        if (!send(part, context, profile, now, out))
            give_up(part);
    }
    // Nothing has left yet, so this refusal is true.
    if (hopeless()) {
        for (auto& unsent : attempts_) {
            unsent.open = false;
            context.catalog->at(unsent.to).health.on_withdrawn();
        }
        finish(forward_end::not_run, out);
    }
}

void forwarded_request::retry(
    std::uint32_t part,
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    auto& wanted = parts_[part];
    if (wanted.answered || wanted.open > 0)
        return;
    const bool may_repeat =
        route_->safety == retry_safety::idempotent || wanted.ran == 0;
    const bool tries_left =
        wanted.ran < route_->max_attempts && wanted.refusals < max_refusals;
    if (!may_repeat || !tries_left) {
        give_up(part);
        return;
    }
    if (send(part, context, profile, now, out))
        return;
    // All were tried. One that refused although it tells of a free slot may
    // take it now; one that is full must not be asked again at once.
    std::erase_if(wanted.tried, [&](replica_number number) {
        const auto& tried = context.catalog->at(number);
        const bool refused =
            std::find(wanted.refused.begin(), wanted.refused.end(), number) !=
            wanted.refused.end();
        return refused && tried.health.told_room(tried.published.slots, now);
    });
    wanted.refused.clear();
    if (!send(part, context, profile, now, out))
        give_up(part);
}

void forwarded_request::hedge(
    std::uint32_t part,
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    auto& wanted = parts_[part];
    if (!send(part, context, profile, now, out))
        wanted.hedge_at = now + hedge_pause;
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
    auto& part = parts_[ended.part];
    --part.open;
    auto& health = context.catalog->at(ended.to).health;
    context.budgets->on_attempt(
        service(ended.part).name, outcome == forward_outcome::refused);
    switch (outcome) {
    case forward_outcome::answered:
        health.on_answered(now - ended.sent, profile.median(), now);
        profile.add(now - ended.sent);
        may_have_run_ = true;
        break;
    case forward_outcome::failed:
    case forward_outcome::broken:
        health.on_failed(now);
        may_have_run_ = true;
        break;
    case forward_outcome::refused:
        health.on_shed(now);
        --part.ran;
        ++part.refusals;
        part.refused.push_back(ended.to);
        break;
    case forward_outcome::misdirected:
        health.on_unreachable(now);
        --part.ran;
        ++part.refusals;
        break;
    case forward_outcome::unreachable:
    case forward_outcome::unsent:
        if (outcome == forward_outcome::unreachable)
            health.on_unreachable(now);
        else
            health.on_withdrawn();
        --part.ran;
        --part.arrivals;
        ++part.refusals;
        if (ended.extra)
            context.budgets->give_back(service(ended.part).name);
        break;
    }
    if (ended_ || part.answered)
        return false;
    if (outcome != forward_outcome::answered) {
        retry(ended.part, context, profile, now, out);
        settle(now, out);
        return false;
    }
    part.answered = true;
    part.hedge_at = time_point::max();
    ++answered_;
    if (part.given_up) {
        part.given_up = false;
        --given_up_;
    }
    for (const auto& other : attempts_) {
        if (other.open && attempts_[attempt].part == other.part)
            context.catalog->at(other.to).health.on_overtaken(
                now - other.sent, profile.median(), now);
    }
    settle(now, out);
    return true;
}

time_point forwarded_request::late_until() const noexcept
{
    const auto late_from = std::max(times_.full_value_until, times_.arrived);
    return late_from + route_->target_latency / late_wait_divisor;
}

bool forwarded_request::due_partial(time_point now) const noexcept
{
    const bool none_left =
        std::all_of(parts_.begin(), parts_.end(), [](const auto& part) {
            return part.answered || part.given_up;
        });
    const bool last_in_time = now >= times_.full_value_until && !worth_passed_;
    return enough() && (none_left || last_in_time || now >= late_until() ||
                        now >= times_.answer_deadline);
}

void forwarded_request::settle(time_point now, forward_actions& out)
{
    if (ended_)
        return;
    if (answered_ == parts_.size())
        finish(forward_end::complete, out);
    else if (hopeless())
        finish(failure(), out);
    else if (due_partial(now))
        finish(forward_end::partial, out);
    else if (now >= times_.answer_deadline)
        finish(forward_end::timed_out, out);
    worth_passed_ = worth_passed_ || now >= times_.full_value_until;
    late_passed_ = now >= late_until();
}

void forwarded_request::on_timeout(
    const forward_context& context,
    const latency_profile& profile,
    time_point now,
    forward_actions& out)
{
    settle(now, out);
    if (ended_)
        return;
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        if (parts_[part].hedge_at <= now)
            hedge(part, context, profile, now, out);
    }
}

time_point forwarded_request::next_wakeup() const noexcept
{
    auto due = times_.answer_deadline;
    if (!worth_passed_)
        due = std::min(due, times_.full_value_until);
    else if (!late_passed_)
        due = std::min(due, late_until());
    for (const auto& part : parts_) {
        if (!part.answered && !part.given_up)
            due = std::min(due, part.hedge_at);
    }
    return due;
}

} // namespace peridotward
