#include <peridotward/core/quarantine/crash_history.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

crash_history::mark
crash_history::mark_of(request_fingerprint request, time_point now) const
{
    const auto found = records_.find(request);
    if (found == records_.end() || now >= found->second.until)
        return {};
    return {found->second.generation, found->second.level};
}

request_trust
crash_history::trust(const request_fingerprints& request, time_point now) const
{
    const auto level = marks_of(request, now).level();
    if (level == 0)
        return request_trust::trusted;
    return level < quarantine_level ? request_trust::suspected
                                    : request_trust::quarantined;
}

time_point crash_history::quarantined_until(
    const request_fingerprints& request, time_point now) const
{
    auto until = now;
    for (const auto fingerprint : {request.exact, request.similar}) {
        if (mark_of(fingerprint, now).level >= quarantine_level)
            until = std::max(until, records_.at(fingerprint).until);
    }
    return until;
}

bool crash_history::answered_lately(
    request_fingerprint request, time_point now) const
{
    const auto& slot =
        answered_[static_cast<std::uint64_t>(request) % answered_slots];
    return slot.request == request && slot.at != time_point{} &&
           now - slot.at < answer_memory;
}

void crash_history::change(
    request_fingerprint request, known_request& known, time_point until)
{
    known.until = until;
    if (known.remaining_transmissions == 0)
        changed_.push_back(request);
    known.remaining_transmissions = transmissions;
}

void crash_history::clear(
    request_fingerprint request, known_request& known, time_point now)
{
    ++known.generation;
    known.level = 0;
    change(request, known, now + cleared_retention);
}

void crash_history::evict()
{
    if (records_.size() <= max_records)
        return;
    const auto least = std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return std::pair{a.second.level, a.second.until} <
                   std::pair{b.second.level, b.second.until};
        });
    std::erase(changed_, least->first);
    records_.erase(least);
}

std::vector<request_fingerprint> crash_history::on_crash(
    const request_fingerprints& request, const marks& sent_with, time_point now)
{
    std::vector<request_fingerprint> raised;
    if (raise(request.exact, sent_with.exact, now))
        raised.push_back(request.exact);
    if (sent_with.exact.level == 0 &&
        raise(request.similar, sent_with.similar, now))
        raised.push_back(request.similar);
    return raised;
}

bool crash_history::raise(
    request_fingerprint request, mark sent_with, time_point now)
{
    if (answered_lately(request, now))
        return false;
    auto& known = records_[request];
    const auto level_before =
        sent_with.generation == known.generation ? sent_with.level : 0;
    const auto level = std::min(level_before + 1, quarantine_level);
    if (level <= known.level && now < known.until)
        return false;
    known.level = level;
    change(request, known, now + retention);
    evict();
    return true;
}

void crash_history::on_answered(
    const request_fingerprints& request, time_point now)
{
    on_answered(request.exact, now);
    on_answered(request.similar, now);
}

void crash_history::on_answered(request_fingerprint request, time_point now)
{
    answered_[static_cast<std::uint64_t>(request) % answered_slots] = {
        request, now};
    if (records_.empty())
        return;
    const auto found = records_.find(request);
    if (found != records_.end() && found->second.level > 0)
        clear(request, found->second, now);
}

bool crash_history::merge(const crash_record& record, time_point now)
{
    if (record.seconds_left == 0)
        return false;
    auto& known = records_[record.request];
    const bool live = now < known.until;
    const bool later =
        !live || record.generation > known.generation ||
        (record.generation == known.generation && record.level > known.level);
    if (!later)
        return false;
    const auto level = std::min(record.level, quarantine_level);
    const bool rose = level > (live ? known.level : 0);
    known.generation = record.generation;
    known.level = level;
    const auto until =
        now + std::min<duration>(seconds{record.seconds_left}, retention);
    if (level > 0 && answered_lately(record.request, now)) {
        clear(record.request, known, now);
        evict();
        return false;
    }
    change(record.request, known, until);
    evict();
    return rose;
}

void crash_history::expire(time_point now)
{
    if (records_.empty())
        return;
    std::erase_if(
        records_, [&](const auto& entry) { return now >= entry.second.until; });
    std::erase_if(changed_, [&](request_fingerprint request) {
        return records_.count(request) == 0;
    });
}

crash_record crash_history::record_of(
    request_fingerprint request, const known_request& known, time_point now)
{
    const auto left = std::chrono::ceil<seconds>(known.until - now);
    return {
        request,
        known.generation,
        known.level,
        static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0))};
}

std::vector<crash_record>
crash_history::take_changed(std::size_t max_count, time_point now)
{
    std::vector<crash_record> taken;
    for (const auto request : changed_) {
        if (taken.size() == max_count)
            break;
        auto& known = records_.at(request);
        --known.remaining_transmissions;
        taken.push_back(record_of(request, known, now));
    }
    // Records that are still to be transmitted go behind those that wait.
    std::rotate(
        changed_.begin(),
        changed_.begin() + static_cast<std::ptrdiff_t>(taken.size()),
        changed_.end());
    std::erase_if(changed_, [&](request_fingerprint request) {
        return records_.at(request).remaining_transmissions == 0;
    });
    return taken;
}

std::vector<crash_record> crash_history::next_records(
    std::size_t max_count, std::uint32_t min_level, time_point now)
{
    std::vector<crash_record> all;
    for (const auto& [request, known] : records_) {
        if (known.level >= min_level && now < known.until)
            all.push_back(record_of(request, known, now));
    }
    if (all.empty())
        return all;
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.request < b.request;
    });
    const auto first = std::find_if(all.begin(), all.end(), [&](const auto& a) {
        return static_cast<std::uint64_t>(a.request) >= next_request_;
    });
    std::rotate(
        all.begin(), first == all.end() ? all.begin() : first, all.end());
    if (all.size() > max_count)
        all.resize(max_count);
    next_request_ = static_cast<std::uint64_t>(all.back().request) + 1;
    return all;
}

std::size_t crash_history::quarantined() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [](const auto& entry) {
            return entry.second.level >= quarantine_level;
        }));
}

} // namespace peridotward
