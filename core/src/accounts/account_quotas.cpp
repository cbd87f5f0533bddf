#include <peridotward/core/accounts/account_quotas.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridotward {

namespace {

constexpr double milli = 1000;
/// Credits that differ by less are equal: sums of thousandths round.
constexpr double epsilon = 1e-6;
/// Time constant of the mean demand at this instance.
constexpr milliseconds demand_time_constant{1000};
/// Demand for this time is asked for in advance.
constexpr milliseconds batch_time{100};
/// Limit on the credits in one message.
constexpr double max_message_credits = 1e6;
/// Shortest retry time given to a caller.
constexpr milliseconds min_retry_time{50};

double seconds_of(duration time) noexcept
{
    return std::chrono::duration<double>(time).count();
}

duration from_seconds(double time) noexcept
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{time});
}

std::uint32_t to_milli(double credits) noexcept
{
    return static_cast<std::uint32_t>(std::floor(
        std::clamp(credits, 0.0, max_message_credits) * milli + epsilon));
}

} // namespace

account_quotas::account_quotas(random_source& random, time_point started)
    : random_{&random},
      started_{started},
      last_seen_at_{started},
      // Later incarnations begin with higher numbers unless the machine has
      // restarted; a lower one only loses returned credits.
      last_sequence_{
          static_cast<std::uint64_t>(started.time_since_epoch().count())}
{}

double account_quotas::rate_of(const account_quota& quota) const noexcept
{
    // The credits of a small account are divided among so many instances that
    // many expire unused; its slack makes up for these.
    return quota.per_second * (1 + rate_tolerance * bounds_.over) +
           rate_tolerance * bounds_.slack / seconds_of(bounds_.window);
}

double account_quotas::depth_of(const account_quota& quota) const noexcept
{
    return quota.burst * (1 + depth_tolerance * bounds_.over) +
           depth_tolerance * bounds_.slack;
}

duration account_quotas::term() const noexcept
{
    // A credit moves a request to a later window by its term at most.
    constexpr int window_parts = 16;
    return std::min<duration>(credit_term, bounds_.window / window_parts);
}

void account_quotas::apply(const account_directory& accounts, time_point now)
{
    const bool fresh = configured_ && now - started_ > bounds_.window;
    configured_ = true;
    for (auto& [name, state] : accounts_) {
        if (!state.removed_at)
            state.removed_at = now;
    }
    for (const auto& account : accounts.accounts()) {
        const auto [found, added] = accounts_.try_emplace(account.name);
        auto& state = found->second;
        state.removed_at.reset();
        if (added)
            state.fresh = fresh;
        if (state.quota != account.quota)
            state.fleet_revision = 0;
        state.quota = account.quota;
    }
    // What a removed account has used lately counts if it returns.
    std::erase_if(accounts_, [&](const auto& each) {
        const auto& removed_at = each.second.removed_at;
        return removed_at && now - *removed_at > 2 * bounds_.window;
    });
}

void account_quotas::observe(const fleet_view& fleet, time_point now)
{
    if (now - last_seen_at_ > pause_limit) {
        for (auto& [name, account] : accounts_) {
            if (account.bucket)
                account.bucket->clear(now);
        }
    }
    last_seen_at_ = now;
    if (fleet_.update(fleet, now))
        ++fleet_revision_;
}

void account_quotas::refresh(
    const std::string& name, account_state& account, time_point now)
{
    const bool joining = now - started_ < join_time && fleet_.size() > 1;
    const auto part = fleet_.part(now) * (joining ? join_part : 1);
    if (account.fleet_revision == fleet_revision_ && account.part == part) {
        if (account.bucket)
            account.bucket->fill(now);
        return;
    }
    account.fleet_revision = fleet_revision_;
    account.part = part;
    const auto names = fleet_.granters(name);
    account.granter_count = static_cast<std::uint32_t>(names.size());
    std::vector<granter_state> granters;
    bool granter = false;
    for (const auto& each : names) {
        if (each == fleet_.self()) {
            granter = true;
            continue;
        }
        const auto known = std::find_if(
            account.granters.begin(),
            account.granters.end(),
            [&](const granter_state& state) { return state.name == each; });
        if (known != account.granters.end())
            granters.push_back(std::move(*known));
        else
            granters.push_back({each, 0, {}, 0, {}, 0, {}});
    }
    account.granters = std::move(granters);
    if (!granter) {
        account.bucket.reset();
        return;
    }
    const bool added = !account.bucket;
    if (added)
        account.bucket.emplace(now);
    account.bucket->limits(
        rate_of(account.quota) * part / account.granter_count,
        depth_of(account.quota) * fleet_.part(now) / account.granter_count,
        now);
    if (added && std::exchange(account.fresh, false))
        account.bucket->fill_up();
    else if (added && now - started_ < join_time)
        account.bucket->start_with(std::max(
            initial_credits,
            join_part * depth_of(account.quota) / account.granter_count));
}

double
account_quotas::available(const account_state& account, time_point now) noexcept
{
    double sum = account.bucket ? account.bucket->level() : 0;
    for (const auto& lot : account.lots)
        sum += lot.expires > now ? lot.credits : 0;
    return sum;
}

void account_quotas::spend(account_state& account, time_point now)
{
    double due = 1;
    for (auto& lot : account.lots) {
        if (lot.expires <= now)
            continue;
        const auto used = std::min(due, lot.credits);
        lot.credits -= used;
        due -= used;
    }
    if (account.bucket)
        (void)account.bucket->take(due);
    std::erase_if(account.lots, [](const credit_lot& lot) {
        return lot.credits <= epsilon;
    });
}

void account_quotas::record_demand(
    account_state& account, time_point now) noexcept
{
    const auto decay = std::exp(
        -seconds_of(now - account.demand_at) /
        seconds_of(demand_time_constant));
    account.demand_at = now;
    account.demand =
        account.demand * decay + 1 / seconds_of(demand_time_constant);
}

quota_decision account_quotas::try_acquire(
    std::string_view name,
    std::optional<time_point> waited_since,
    const fleet_view& fleet,
    time_point now,
    std::vector<outgoing_message>& out)
{
    observe(fleet, now);
    const auto found = accounts_.find(name);
    if (found == accounts_.end())
        return {};
    auto& account = found->second;
    if (!account.quota.limited()) {
        ++account.use.admitted;
        return {};
    }
    refresh(found->first, account, now);
    if (!waited_since)
        record_demand(account, now);
    const auto held = available(account, now);
    if (held >= 1 - epsilon) {
        spend(account, now);
        ++account.use.admitted;
        // Credits in advance, so that the next request need not wait.
        const auto batch = account.demand * seconds_of(batch_time);
        if (held - 1 < batch / 2)
            ask(found->first, account, batch, now, out);
        return {};
    }
    if (account.round_open && now >= account.round_ends)
        end_round(account, now);
    const bool may_wait = (!waited_since || now - *waited_since < max_wait) &&
                          account.waiting < max_waiting &&
                          !account.granters.empty();
    if (may_wait) {
        const auto lacking = 1 + account.waiting - held;
        ask(found->first,
            account,
            std::max(lacking, account.demand * seconds_of(batch_time)),
            now,
            out);
        if (account.round_open) {
            ++account.waiting;
            if (!waited_since)
                ++account.use.waited;
            return {quota_outcome::waiting, account.round_ends};
        }
    }
    return refuse(account, now);
}

void account_quotas::end_wait(std::string_view name)
{
    const auto found = accounts_.find(name);
    if (found != accounts_.end() && found->second.waiting > 0)
        --found->second.waiting;
}

quota_decision account_quotas::refuse(account_state& account, time_point now)
{
    ++account.use.refused;
    // Each refused caller gets a time of its own, at the rate at which this
    // instance may expect credits.
    const auto rate = std::max(
        rate_of(account.quota) * account.part / account.granter_count, 0.2);
    const auto earliest =
        now +
        std::max<duration>(
            min_retry_time, from_seconds((1 - available(account, now)) / rate));
    account.next_retry = std::clamp<time_point>(
        account.next_retry + from_seconds(1 / rate),
        std::min<time_point>(earliest, now + max_retry_time),
        now + max_retry_time);
    return {quota_outcome::refused, account.next_retry};
}

void account_quotas::ask(
    const std::string& name,
    account_state& account,
    double wanted,
    time_point now,
    std::vector<outgoing_message>& out)
{
    if (account.round_open && now >= account.round_ends)
        end_round(account, now);
    if (account.round_open || now < account.next_round)
        return;
    std::size_t answering = 0;
    for (const auto& each : account.granters)
        answering += now >= each.silent_until ? 1 : 0;
    if (account.granters.empty())
        return;
    // One more than the answering granters' even part, so that one of them may
    // lack credits or fail to answer.
    const auto parts = std::max<std::size_t>(answering, 2) - 1;
    const auto each_wanted =
        std::min(wanted / static_cast<double>(parts), depth_of(account.quota));
    for (auto& each : account.granters) {
        each.sequence = ++last_sequence_;
        each.asked_at = now;
        out.push_back(
            {each.name,
             credit_request{
                 each.sequence,
                 name,
                 static_cast<std::uint32_t>(std::ceil(each_wanted * milli)),
                 0,
                 0}});
    }
    account.round_open = true;
    account.round_ends = now + answer_time;
    account.round_wanted = wanted;
    account.round_granted = 0;
}

void account_quotas::end_round(account_state& account, time_point now)
{
    account.round_open = false;
    bool missed = false;
    for (auto& each : account.granters) {
        if (each.sequence == 0 || now - each.asked_at < answer_time ||
            now < each.silent_until)
            continue;
        missed = true;
        if (++each.misses >= max_misses)
            each.silent_until = now + silence_time;
    }
    if (account.round_granted > epsilon)
        account.interval = min_interval;
    double left = 0;
    for (const auto& each : account.granters)
        left += each.sequence == 0 ? each.level : 0;
    // Of a granter that was expected to answer, nothing is known.
    if (missed ||
        account.round_granted + left >= account.round_wanted - epsilon)
        return;
    // The jitter keeps instances from asking at the same time.
    account.next_round = now + from_seconds(
                                   seconds_of(account.interval) *
                                   (0.75 + 0.5 * random_->unit()));
    account.interval = std::min<duration>(2 * account.interval, max_interval);
}

void account_quotas::refund(
    std::string_view name, time_point acquired_at, time_point now)
{
    const auto found = accounts_.find(name);
    if (found == accounts_.end() || !found->second.quota.limited() ||
        now - acquired_at > bounds_.window)
        return;
    auto& account = found->second;
    ++account.use.refunded;
    if (account.bucket)
        account.bucket->put_back(1, acquired_at);
    else
        account.lots.push_back({{}, 1, acquired_at, now + term()});
}

void account_quotas::return_expired(
    const std::string& name,
    account_state& account,
    time_point now,
    std::vector<outgoing_message>& out)
{
    for (auto& lot : account.lots) {
        if (lot.expires > now)
            continue;
        if (!lot.granter.empty() && to_milli(lot.credits) > 0)
            out.push_back(
                {lot.granter,
                 credit_request{
                     ++last_sequence_,
                     name,
                     0,
                     to_milli(lot.credits),
                     static_cast<std::uint32_t>(
                         std::chrono::ceil<milliseconds>(now - lot.granted_at)
                             .count())}});
        lot.credits = 0;
    }
    std::erase_if(account.lots, [](const credit_lot& lot) {
        return lot.credits <= epsilon;
    });
}

void account_quotas::poll(
    const fleet_view& fleet, time_point now, std::vector<outgoing_message>& out)
{
    observe(fleet, now);
    for (auto& [name, account] : accounts_) {
        if (!account.quota.limited())
            continue;
        refresh(name, account, now);
        if (account.round_open && now >= account.round_ends)
            end_round(account, now);
        return_expired(name, account, now, out);
    }
}

void account_quotas::on_message(
    std::string_view from,
    const credit_request& message,
    const fleet_view& fleet,
    time_point now,
    std::vector<outgoing_message>& out)
{
    observe(fleet, now);
    const auto found = accounts_.find(message.account);
    const bool known =
        found != accounts_.end() && found->second.quota.limited();
    credit_grant answer{message.sequence, message.account, 0, 0};
    if (known) {
        auto& account = found->second;
        refresh(found->first, account, now);
        if (account.bucket && message.returned_milli > 0) {
            auto& last = last_return_[std::string{from}];
            if (message.sequence > last) {
                last = message.sequence;
                account.bucket->put_back(
                    message.returned_milli / milli,
                    now - milliseconds{message.returned_age_ms});
            }
        }
        if (account.bucket && message.wanted_milli > 0) {
            answer.granted_milli = to_milli(std::min(
                account.bucket->level(), message.wanted_milli / milli));
            (void)account.bucket->take(answer.granted_milli / milli);
            answer.level_milli = to_milli(account.bucket->level());
        }
    }
    if (message.wanted_milli > 0)
        out.push_back({std::string{from}, std::move(answer)});
}

bool account_quotas::on_message(
    std::string_view from, const credit_grant& message, time_point now)
{
    const auto found = accounts_.find(message.account);
    if (found == accounts_.end())
        return false;
    auto& account = found->second;
    const auto granter = std::find_if(
        account.granters.begin(),
        account.granters.end(),
        [&](const granter_state& each) { return each.name == from; });
    if (granter == account.granters.end() || message.sequence == 0 ||
        granter->sequence != message.sequence)
        return false;
    granter->sequence = 0;
    granter->misses = 0;
    granter->silent_until = {};
    granter->level = message.level_milli / milli;
    granter->level_at = now;
    if (message.granted_milli > 0) {
        account.lots.push_back(
            {granter->name,
             message.granted_milli / milli,
             granter->asked_at,
             granter->asked_at + term()});
        account.round_granted += message.granted_milli / milli;
    }
    const bool complete = std::none_of(
        account.granters.begin(),
        account.granters.end(),
        [&](const granter_state& each) {
            return each.sequence != 0 && now >= each.silent_until;
        });
    if (account.round_open && complete)
        end_round(account, now);
    return !account.round_open || available(account, now) >= 1 - epsilon;
}

void account_quotas::visit(
    const std::function<void(
        const std::string& account, const account_use& use)>& visitor) const
{
    for (const auto& [name, account] : accounts_) {
        if (account.removed_at)
            continue;
        auto use = account.use;
        use.quota = account.quota;
        use.credits = available(account, last_seen_at_);
        use.granter = account.bucket.has_value();
        visitor(name, use);
    }
}

} // namespace peridotward
