#include <peridotward/core/discovery/upstream_catalog.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

namespace {

/// Whether `a` started after `b`, given that both have the same address and so
/// never ran at the same time.
bool started_later(const upstream_record& a, const upstream_record& b) noexcept
{
    if (a.position.era == b.position.era)
        return a.position.revision > b.position.revision;
    if (a.start_id != 0 && b.start_id != 0 && a.start_id != b.start_id)
        return a.start_id > b.start_id;
    return a.position.era > b.position.era;
}

} // namespace

bool upstream_catalog::has_better_claim(
    const replica& a, const replica& b) const
{
    const auto named = [this](const replica& each) {
        return named_services_.empty() ||
               named_services_.contains(each.published.service);
    };
    if (a.misdirected != b.misdirected)
        return b.misdirected;
    if (named(a) != named(b))
        return named(a);
    return started_later(a.published, b.published);
}

void upstream_catalog::settle_address(const endpoint& address)
{
    const auto found = by_address_.find(address);
    if (found == by_address_.end())
        return;
    const auto& claimants = found->second;
    auto owner = claimants.front();
    for (const auto number : claimants) {
        if (has_better_claim(at(number), at(owner)))
            owner = number;
    }
    for (const auto number : claimants)
        at(number).address_taken = number != owner;
}

void upstream_catalog::mark_misdirected(replica_number number)
{
    at(number).misdirected = true;
    settle_address(at(number).published.address);
}

void upstream_catalog::set_services(std::set<std::string, std::less<>> names)
{
    if (names == named_services_)
        return;
    named_services_ = std::move(names);
    for (const auto& [address, claimants] : by_address_) {
        if (claimants.size() > 1)
            settle_address(address);
    }
}

void upstream_catalog::add(upstream_record record, time_point now)
{
    auto added = std::make_unique<replica>();
    added->number = static_cast<replica_number>(replicas_.size());
    added->cold_until = now + record.cold_start_remaining;
    if (const auto notice = notices_.find(record.address);
        notice != notices_.end()) {
        const auto& said = notice->second;
        const bool same_start = said.start_id == record.start_id;
        if (said.id == record.id && same_start)
            added->leaving = said.leaving;
        // A later start may have said it before it was known.
        if (said.id == record.id &&
            (same_start || said.paused_at > confirmed_at_)) {
            added->health.pause_until(said.paused_until);
            added->paused_at = said.paused_at;
        }
        notices_.erase(notice);
    }
    by_id_[record.id] = added->number;
    by_service_[record.service].push_back(added->number);
    added->published = std::move(record);
    apply_early_notice(*added, now);
    replicas_.push_back(std::move(added));
    const auto& address = replicas_.back()->published.address;
    by_address_[address].push_back(replicas_.back()->number);
    settle_address(address);
}

void upstream_catalog::remove(replica_number number)
{
    const auto& removed = at(number).published;
    const auto paused_until = at(number).health.paused_until();
    if (at(number).leaving || paused_until != time_point{})
        notices_.insert_or_assign(
            removed.address,
            upstream_notice{
                removed.id,
                removed.start_id,
                at(number).leaving,
                paused_until,
                at(number).paused_at});
    if (const auto at_address = by_address_.find(removed.address);
        at_address != by_address_.end()) {
        std::erase(at_address->second, number);
        if (at_address->second.empty())
            by_address_.erase(at_address);
        else
            settle_address(removed.address);
    }
    auto& listed = by_service_[removed.service];
    std::erase(listed, number);
    const auto found = by_id_.find(removed.id);
    if (found != by_id_.end() && found->second == number)
        by_id_.erase(found);
}

void upstream_catalog::publish(upstream_record record, time_point now)
{
    const auto found = by_id_.find(record.id);
    if (found == by_id_.end()) {
        add(std::move(record), now);
        return;
    }
    auto& target = at(found->second);
    if (record.position < target.published.position)
        return;
    update(target, std::move(record), now);
}

void upstream_catalog::update(
    replica& target, upstream_record record, time_point now)
{
    const bool restarted = target.published.start_id != record.start_id ||
                           target.published.address != record.address ||
                           target.published.service != record.service;
    if (restarted) {
        target.unpublished_at = now;
        remove(target.number);
        add(std::move(record), now);
        if (on_restarted)
            on_restarted(target, *replicas_.back());
        return;
    }
    target.unpublished_at.reset();
    target.publication_lost = false;
    target.drain_lost_at.reset();
    target.cold_until = now + record.cold_start_remaining;
    if (record.position > target.published.position)
        target.misdirected = false;
    target.published = std::move(record);
    settle_address(target.published.address);
}

void upstream_catalog::withdraw(std::string_view id, time_point now)
{
    const auto found = by_id_.find(std::string{id});
    if (found == by_id_.end())
        return;
    auto& target = at(found->second);
    target.publication_lost = false;
    if (!target.unpublished_at)
        target.unpublished_at = now;
}

void upstream_catalog::replace(store_listing listing, time_point now)
{
    std::set<std::string> listed;
    for (const auto& record : listing.upstreams)
        listed.insert(record.id);
    for (const auto number : live()) {
        if (!listed.contains(at(number).published.id))
            withdraw(at(number).published.id, now);
    }
    for (auto& record : listing.upstreams) {
        const auto found = by_id_.find(record.id);
        if (found == by_id_.end())
            add(std::move(record), now);
        else
            update(at(found->second), std::move(record), now);
    }
    excluded_ = std::move(listing.excluded_domains);
    lost_exclusions_.clear();
}

void upstream_catalog::replace_restored(store_listing listing, time_point now)
{
    // An earlier start of an upstream can't follow a later one, so the record
    // of the later one is among the lost changes.
    std::erase_if(listing.upstreams, [&](const upstream_record& record) {
        const auto known = by_id_.find(record.id);
        return known != by_id_.end() && record.start_id != 0 &&
               record.start_id < at(known->second).published.start_id;
    });
    std::vector<replica_number> published;
    std::vector<replica_number> draining;
    for (const auto number : live()) {
        auto& known = at(number);
        // A publication that an earlier return lost may be lost once more.
        if (known.publication_lost)
            known.unpublished_at.reset();
        if (!known.unpublished_at)
            published.push_back(number);
        if (known.published.draining || known.drain_lost_at)
            draining.push_back(number);
    }
    const auto excluded_before = excluded_;
    replace(std::move(listing), now);
    for (const auto number : published)
        at(number).publication_lost = at(number).unpublished_at.has_value();
    for (const auto number : draining) {
        if (!at(number).published.draining)
            at(number).drain_lost_at = now;
    }
    for (const auto& domain : excluded_before) {
        if (excluded_.insert(domain).second)
            lost_exclusions_.emplace(domain, now);
    }
}

bool upstream_catalog::mark_leaving(replica_number number)
{
    return !std::exchange(at(number).leaving, true);
}

notice_changes upstream_catalog::apply_notice(
    replica_number number, const answer_notice& notice, time_point now)
{
    auto& target = at(number);
    notice_changes changes;
    if (notice.load)
        target.health.on_load(*notice.load, now);
    if (notice.cold_left)
        target.cold_until = now + *notice.cold_left;
    if (notice.leaving)
        changes.leaving = mark_leaving(number);
    if (notice.tells_rate_limit) {
        changes.rate_limit =
            notice.rate_limit.has_value() != target.rate_limit.has_value();
        target.rate_limit = notice.rate_limit;
        if (changes.rate_limit)
            target.rate_limit_ended = !notice.rate_limit;
    }
    if (notice.pause) {
        changes.paused = !target.health.paused(now);
        target.health.pause_until(now + *notice.pause);
        target.paused_at = now;
    }
    return changes;
}

std::optional<std::pair<replica_number, notice_changes>>
upstream_catalog::apply_notice_of(
    const std::string& id,
    std::uint64_t start_id,
    const answer_notice& notice,
    time_point now)
{
    const auto known = find(id);
    const auto known_start = known ? at(*known).published.start_id : 0;
    const bool earlier = known && start_id != 0 && start_id < known_start;
    if (earlier)
        return std::nullopt;
    if (known && (start_id == 0 || start_id == known_start))
        return std::pair{*known, apply_notice(*known, notice, now)};
    remember_notice(id, start_id, notice, now);
    return std::nullopt;
}

void upstream_catalog::remember_notice(
    const std::string& id,
    std::uint64_t start_id,
    const answer_notice& notice,
    time_point now)
{
    std::erase_if(early_notices_, [&](const auto& each) {
        return now - each.second.at > max_notice_age;
    });
    auto known = early_notices_.find(id);
    if (known == early_notices_.end()) {
        if (early_notices_.size() >= max_early_notices)
            return;
        known = early_notices_.emplace(id, early_notice{}).first;
    }
    if (known->second.start_id != start_id)
        known->second = {};
    auto& said = known->second;
    said.start_id = start_id;
    said.at = now;
    said.leaving = said.leaving || notice.leaving;
    if (notice.pause) {
        said.paused_until = std::max(said.paused_until, now + *notice.pause);
        said.paused_at = now;
    }
    if (notice.cold_left)
        said.cold_until = now + *notice.cold_left;
    if (notice.tells_rate_limit) {
        said.tells_rate_limit = true;
        said.rate_limit = notice.rate_limit;
    }
}

void upstream_catalog::apply_early_notice(replica& added, time_point now)
{
    const auto found = early_notices_.find(added.published.id);
    if (found == early_notices_.end())
        return;
    const auto& said = found->second;
    const bool same_start =
        said.start_id == 0 || said.start_id == added.published.start_id;
    if (same_start && now - said.at <= max_notice_age) {
        added.leaving = added.leaving || said.leaving;
        added.health.pause_until(said.paused_until);
        added.paused_at = std::max(added.paused_at, said.paused_at);
        added.cold_until = std::max(added.cold_until, said.cold_until);
        if (said.tells_rate_limit)
            added.rate_limit = said.rate_limit;
    }
    // That of a later start than the published one still waits for it.
    if (same_start || said.start_id < added.published.start_id)
        early_notices_.erase(found);
}

void upstream_catalog::set_domain_excluded(
    std::string_view domain, bool excluded)
{
    if (const auto lost = lost_exclusions_.find(domain);
        lost != lost_exclusions_.end())
        lost_exclusions_.erase(lost);
    if (excluded)
        excluded_.emplace(domain);
    else if (const auto found = excluded_.find(domain);
             found != excluded_.end())
        excluded_.erase(found);
}

std::optional<replica_number> upstream_catalog::find(std::string_view id) const
{
    const auto found = by_id_.find(std::string{id});
    if (found == by_id_.end())
        return std::nullopt;
    return found->second;
}

const std::vector<replica_number>&
upstream_catalog::of_service(std::string_view service) const
{
    static const std::vector<replica_number> none;
    const auto found = by_service_.find(std::string{service});
    return found == by_service_.end() ? none : found->second;
}

replica_availability
upstream_catalog::availability(const replica& candidate) const noexcept
{
    const auto& published = candidate.published;
    if (published.draining || candidate.drain_lost_at || candidate.leaving ||
        candidate.address_taken || candidate.misdirected ||
        excluded_.contains(published.domain))
        return replica_availability::excluded;
    const bool withdrawn =
        candidate.unpublished_at && !candidate.publication_lost;
    return withdrawn ? replica_availability::unpublished
                     : replica_availability::serving;
}

std::vector<replica_number> upstream_catalog::expire(time_point now)
{
    std::vector<replica_number> removed;
    for (const auto number : live()) {
        auto& target = at(number);
        if (target.drain_lost_at && now - *target.drain_lost_at >= lapse_return)
            target.drain_lost_at.reset();
        if (target.unpublished_at &&
            now - *target.unpublished_at >= lapse_return) {
            remove(number);
            removed.push_back(number);
        }
    }
    return removed;
}

std::vector<std::string> upstream_catalog::expire_exclusions(time_point now)
{
    std::vector<std::string> readmitted;
    for (const auto& [domain, lost_at] : lost_exclusions_) {
        if (now - lost_at >= lapse_return)
            readmitted.push_back(domain);
    }
    for (const auto& domain : readmitted)
        set_domain_excluded(domain, false);
    return readmitted;
}

std::vector<replica_number> upstream_catalog::live() const
{
    std::vector<replica_number> numbers;
    numbers.reserve(by_id_.size());
    for (const auto& [id, number] : by_id_)
        numbers.push_back(number);
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

} // namespace peridotward
