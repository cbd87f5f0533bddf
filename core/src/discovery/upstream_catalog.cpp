#include <peridotward/core/discovery/upstream_catalog.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

void upstream_catalog::add(upstream_record record, time_point now)
{
    auto added = std::make_unique<replica>();
    added->number = static_cast<replica_number>(replicas_.size());
    added->cold_until = now + record.cold_start_remaining;
    by_id_[record.id] = added->number;
    by_service_[record.service].push_back(added->number);
    added->published = std::move(record);
    replicas_.push_back(std::move(added));
}

void upstream_catalog::remove(replica_number number)
{
    const auto& removed = at(number).published;
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
    const bool restarted = target.published.start_id != record.start_id ||
                           target.published.address != record.address ||
                           target.published.service != record.service;
    if (restarted) {
        target.unpublished_at = now;
        remove(target.number);
        add(std::move(record), now);
        return;
    }
    if (record.revision < target.published.revision)
        return;
    target.unpublished_at.reset();
    target.cold_until = now + record.cold_start_remaining;
    target.published = std::move(record);
}

void upstream_catalog::withdraw(std::string_view id, time_point now)
{
    const auto found = by_id_.find(std::string{id});
    if (found == by_id_.end())
        return;
    auto& target = at(found->second);
    if (!target.unpublished_at)
        target.unpublished_at = now;
}

void upstream_catalog::replace(
    std::vector<upstream_record> listing, time_point now)
{
    std::set<std::string> listed;
    for (const auto& record : listing)
        listed.insert(record.id);
    for (const auto number : live()) {
        if (!listed.contains(at(number).published.id))
            withdraw(at(number).published.id, now);
    }
    for (auto& record : listing)
        publish(std::move(record), now);
}

void upstream_catalog::set_domain_excluded(
    std::string_view domain, bool excluded)
{
    if (excluded)
        excluded_.emplace(domain);
    else if (const auto found = excluded_.find(domain);
             found != excluded_.end())
        excluded_.erase(found);
}

void upstream_catalog::set_excluded_domains(
    std::set<std::string, std::less<>> domains)
{
    excluded_ = std::move(domains);
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
    if (published.draining || excluded_.contains(published.domain))
        return replica_availability::excluded;
    return candidate.unpublished_at ? replica_availability::unpublished
                                    : replica_availability::serving;
}

std::vector<replica_number> upstream_catalog::expire(time_point now)
{
    std::vector<replica_number> removed;
    for (const auto number : live()) {
        const auto& target = at(number);
        if (target.unpublished_at &&
            now - *target.unpublished_at >= lapse_return) {
            remove(number);
            removed.push_back(number);
        }
    }
    return removed;
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
