#include "judge.hpp"

#include <peridotward/base/hash.hpp>

#include <algorithm>
#include <unordered_map>

namespace peridotward::soak {

namespace {

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> entries;
    std::size_t at = 0;
    while (at < list.size()) {
        const auto end = std::min(list.find(", ", at), list.size());
        entries.push_back(list.substr(at, end - at));
        at = end + 2;
    }
    return entries;
}

} // namespace

std::vector<std::string>
judge::records_of(const std::string& id, const std::string& service)
{
    constexpr int records = 4;
    std::vector<std::string> found;
    for (int i = 0; i < records; ++i) {
        auto text = std::to_string(
            hash_of(id + service, static_cast<std::uint64_t>(i) + 1));
        text.resize(16, '0');
        found.push_back(text);
    }
    return found;
}

void judge::attempt(attempt_record record)
{
    const std::lock_guard lock{mutex_};
    attempts_.push_back(std::move(record));
}

void judge::run(run_record record)
{
    const std::lock_guard lock{mutex_};
    runs_.push_back(std::move(record));
}

void judge::disturb(disturbance span)
{
    const std::lock_guard lock{mutex_};
    disturbances_.push_back(span);
}

void judge::evacuated(const std::string& domain, bool begins)
{
    const std::lock_guard lock{mutex_};
    if (begins)
        evacuations_.push_back(
            {domain, {steady::now(), steady::time_point::max()}});
    else
        evacuations_.back().second.second = steady::now();
}

void judge::left(const std::string& replica)
{
    const std::lock_guard lock{mutex_};
    left_[replica] = steady::now();
}

void judge::published(const std::string& path)
{
    const std::lock_guard lock{mutex_};
    published_[path] = steady::now();
}

std::size_t judge::attempts() const
{
    const std::lock_guard lock{mutex_};
    return attempts_.size();
}

std::size_t judge::repeats() const
{
    const std::lock_guard lock{mutex_};
    std::set<std::pair<std::string, std::string>> first;
    for (const auto& run : runs_)
        first.emplace(run.id, run.service);
    return runs_.size() - first.size();
}

std::pair<std::size_t, std::size_t>
judge::served_since(steady::time_point from) const
{
    const std::lock_guard lock{mutex_};
    std::size_t served = 0;
    std::size_t asked = 0;
    for (const auto& record : attempts_) {
        if (record.sent < from)
            continue;
        ++asked;
        served += record.status == 200 ? 1 : 0;
    }
    return {served, asked};
}

bool judge::disturbed(
    int instance, steady::time_point from, steady::time_point to) const
{
    return std::any_of(
        disturbances_.begin(), disturbances_.end(), [&](const auto& span) {
            return (span.instance == instance || span.instance < 0) &&
                   span.from <= to && from <= span.until + contact;
        });
}

std::vector<std::string> judge::verdict() const
{
    const std::lock_guard lock{mutex_};
    std::vector<std::string> broken;
    check_answers(broken);
    check_once(broken);
    check_places(broken);
    check_stops(broken);
    check_configuration(broken);
    check_repeats(broken);
    return broken;
}

void judge::check_answers(std::vector<std::string>& broken) const
{
    for (const auto& record : attempts_) {
        if (record.status != 200)
            continue;
        if (record.path.starts_with("/search/"))
            check_search(record, broken);
        else if (record.body != "answer to " + record.id)
            broken.push_back(
                "mixed: " + record.id + " got \"" + record.body + "\"");
    }
}

void judge::check_search(
    const attempt_record& record, std::vector<std::string>& broken) const
{
    std::set<std::string> services;
    std::vector<std::string> records;
    for (const auto& stamp : split(record.parts)) {
        const auto dot = stamp.find('.');
        if (stamp.substr(0, dot) != record.id) {
            broken.push_back("mixed: " + record.id + " has part " + stamp);
            return;
        }
        const auto service = stamp.substr(dot + 1);
        if (!services.insert(service).second)
            broken.push_back("doubled: " + record.id + " has " + service);
        const auto held = records_of(record.id, service);
        records.insert(records.end(), held.begin(), held.end());
    }
    std::sort(records.begin(), records.end(), std::greater<>{});
    records.resize(std::min<std::size_t>(records.size(), top_records));
    std::string expected;
    for (const auto& entry : records)
        expected += entry;
    if (record.body != expected)
        broken.push_back("wrong records: " + record.id);
    const auto missing =
        record.missing.empty() ? 0U : std::stoul(record.missing);
    if (services.size() + missing != shards)
        broken.push_back("wrong coverage: " + record.id);
}

void judge::check_once(std::vector<std::string>& broken) const
{
    std::unordered_map<std::string, int> runs;
    for (const auto& run : runs_)
        ++runs[run.id];
    for (const auto& record : attempts_) {
        if (!record.once)
            continue;
        const auto found = runs.find(record.id);
        const int count = found == runs.end() ? 0 : found->second;
        if (count > 1)
            broken.push_back("twice: " + record.id);
        const bool refused = record.status == 503 || record.status == 429;
        if (refused && count > 0)
            broken.push_back("refused, but ran: " + record.id);
    }
}

void judge::check_places(std::vector<std::string>& broken) const
{
    std::unordered_map<std::string, const attempt_record*> by_id;
    for (const auto& record : attempts_)
        by_id[record.id] = &record;
    for (const auto& run : runs_) {
        const auto found = by_id.find(run.id);
        if (found == by_id.end()) {
            broken.push_back("unasked: " + run.id);
            continue;
        }
        const int instance = found->second->instance;
        if (const auto gone = left_.find(run.replica);
            gone != left_.end() && run.at > gone->second + drain_bound &&
            !disturbed(instance, gone->second, run.at))
            broken.push_back("sent to a leaving replica: " + run.id);
        for (const auto& [domain, span] : evacuations_) {
            if (run.domain == domain &&
                run.at > span.first + evacuation_bound &&
                run.at < span.second &&
                !disturbed(instance, span.first, run.at))
                broken.push_back("sent to an evacuated domain: " + run.id);
        }
    }
}

void judge::check_stops(std::vector<std::string>& broken) const
{
    for (const auto& span : disturbances_) {
        if (!span.planned_stop)
            continue;
        for (const auto& record : attempts_) {
            const bool concerns = record.instance == span.instance &&
                                  record.sent >= span.from - milliseconds{50} &&
                                  record.sent <= span.until;
            const bool cut = record.status == 0 && !record.refused_to_connect;
            const bool other = std::any_of(
                disturbances_.begin(),
                disturbances_.end(),
                [&](const auto& hit) {
                    return !hit.planned_stop &&
                           (hit.instance == record.instance ||
                            hit.instance < 0) &&
                           hit.from <= record.ended &&
                           record.sent <= hit.until + contact;
                });
            if (concerns && cut && !other)
                broken.push_back("cut by a planned stop: " + record.id);
        }
    }
}

void judge::check_configuration(std::vector<std::string>& broken) const
{
    for (const auto& record : attempts_) {
        const auto found = published_.find(record.path);
        if (found == published_.end() || record.status != 404)
            continue;
        if (record.sent > found->second + config_bound &&
            !disturbed(record.instance, found->second, record.sent))
            broken.push_back("configuration not in force: " + record.id);
    }
}

void judge::check_repeats(std::vector<std::string>& broken) const
{
    std::map<std::string, std::vector<steady::time_point>> asked;
    std::map<std::string, std::vector<steady::time_point>> repeated;
    std::set<std::pair<std::string, std::string>> first;
    for (const auto& run : runs_) {
        const bool added = first.emplace(run.id, run.service).second;
        (added ? asked : repeated)[run.service].push_back(run.at);
    }
    const auto within = [](const auto& times, auto from, auto to) {
        return std::count_if(times.begin(), times.end(), [&](auto at) {
            return at > from && at <= to;
        });
    };
    for (const auto& [service, times] : repeated) {
        for (const auto at : times) {
            const auto from = at - repeat_window;
            const double allowed =
                repeat_ratio *
                    static_cast<double>(within(asked[service], from, at)) +
                repeat_extra;
            const auto spent = within(times, from, at);
            if (static_cast<double>(spent) > allowed) {
                broken.push_back("too many repeats at " + service);
                break;
            }
        }
    }
}

} // namespace peridotward::soak
