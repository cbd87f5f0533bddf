#include "invariant_checker.hpp"

#include <peridotward/base/hash.hpp>

#include <algorithm>

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

std::string milliseconds_text(steady::duration time)
{
    return std::to_string(
               std::chrono::duration_cast<milliseconds>(time).count()) +
           " ms";
}

/// \returns Whether the instance had no configuration yet.
bool is_unconfigured(const attempt_record& record)
{
    return record.status == 503 &&
           record.body.find("no configuration yet") != std::string::npos;
}

} // namespace

std::vector<std::string>
invariant_checker::records_of(const std::string& id, const std::string& service)
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

std::string
invariant_checker::body_of(const std::string& id, std::size_t min_size)
{
    auto body = "answer to " + id;
    body.resize(std::max(body.size(), min_size), '.');
    return body;
}

std::size_t invariant_checker::answer_bytes(const std::string& target)
{
    if (target.starts_with("/large/"))
        return large_answer_bytes;
    return target.starts_with("/huge/") ? huge_answer_bytes : 0;
}

void invariant_checker::record_memory(int instance, std::size_t peak_mb)
{
    const std::lock_guard lock{mutex_};
    auto& known = peak_mb_[instance];
    known = std::max(known, peak_mb);
}

std::size_t invariant_checker::peak_memory_mb() const
{
    const std::lock_guard lock{mutex_};
    std::size_t most = 0;
    for (const auto& [instance, peak_mb] : peak_mb_)
        most = std::max(most, peak_mb);
    return most;
}

void invariant_checker::check_memory(std::vector<std::string>& violations) const
{
    for (const auto& [instance, peak_mb] : peak_mb_) {
        if (peak_mb > resident_mb_)
            violations.push_back(
                "memory: instance " + std::to_string(instance) + " used " +
                std::to_string(peak_mb) + " MB");
    }
}

void invariant_checker::check_late_readers(
    std::vector<std::string>& violations) const
{
    for (const auto& record : attempts_) {
        if (!record.reads_late || record.status != 0 ||
            record.refused_to_connect ||
            is_interrupted(record.instance, record.sent, record.ended))
            continue;
        violations.push_back(
            "no answer to a late reader: " + record.id + " by instance " +
            std::to_string(record.instance) + ", " +
            std::to_string(record.body.size()) + " bytes");
    }
}

void invariant_checker::record_own_end(int instance)
{
    const std::lock_guard lock{mutex_};
    own_ends_.push_back(instance);
}

void invariant_checker::record_attempt(attempt_record record)
{
    const std::lock_guard lock{mutex_};
    attempts_.push_back(std::move(record));
}

void invariant_checker::record_execution(execution_record record)
{
    const std::lock_guard lock{mutex_};
    executions_.push_back(std::move(record));
}

void invariant_checker::record_arrival(arrival_record record)
{
    const std::lock_guard lock{mutex_};
    arrivals_.push_back(std::move(record));
}

void invariant_checker::record_notice(notice_record record)
{
    const std::lock_guard lock{mutex_};
    notices_.push_back(std::move(record));
}

void invariant_checker::record_rate_limit(rate_limit_record record)
{
    const std::lock_guard lock{mutex_};
    rate_limits_.push_back(std::move(record));
}

void invariant_checker::record_crash(const std::string& replica_start)
{
    const std::lock_guard lock{mutex_};
    crash_times_[replica_start] = steady::now();
}

void invariant_checker::record_disturbance(disturbance span)
{
    const std::lock_guard lock{mutex_};
    disturbances_.push_back(span);
}

void invariant_checker::record_evacuation(
    const std::string& domain, bool begins)
{
    const std::lock_guard lock{mutex_};
    if (begins)
        evacuations_.push_back(
            {domain, {steady::now(), steady::time_point::max()}});
    else
        evacuations_.back().second.second = steady::now();
}

void invariant_checker::record_drain(const std::string& replica)
{
    const std::lock_guard lock{mutex_};
    drain_times_[replica] = steady::now();
}

void invariant_checker::record_recovery(steady::time_point until)
{
    const std::lock_guard lock{mutex_};
    recoveries_.emplace_back(steady::now(), until);
}

void invariant_checker::record_publication(const std::string& path)
{
    const std::lock_guard lock{mutex_};
    publication_times_[path] = steady::now();
}

std::size_t invariant_checker::attempts() const
{
    const std::lock_guard lock{mutex_};
    return attempts_.size();
}

std::size_t invariant_checker::extra_attempts() const
{
    const std::lock_guard lock{mutex_};
    std::set<std::pair<std::string, std::string>> first;
    for (const auto& execution : executions_)
        first.emplace(execution.id, execution.service);
    return executions_.size() - first.size();
}

std::pair<std::size_t, std::size_t>
invariant_checker::count_served_since(steady::time_point from) const
{
    const std::lock_guard lock{mutex_};
    std::size_t served = 0;
    std::size_t attempted = 0;
    for (const auto& record : attempts_) {
        if (record.sent < from)
            continue;
        ++attempted;
        served += record.status == 200 ? 1 : 0;
    }
    return {served, attempted};
}

bool invariant_checker::is_disturbed(
    int instance, steady::time_point from, steady::time_point to) const
{
    return std::any_of(
        disturbances_.begin(), disturbances_.end(), [&](const auto& span) {
            return (span.instance == instance || span.instance < 0) &&
                   span.from <= to && from <= span.until + recovery_allowance;
        });
}

bool invariant_checker::is_interrupted(
    int instance, steady::time_point from, steady::time_point to) const
{
    return std::any_of(
        disturbances_.begin(), disturbances_.end(), [&](const auto& span) {
            return span.instance == instance &&
                   span.kind != disturbance_kind::connections &&
                   span.from <= to && from <= span.until;
        });
}

bool invariant_checker::is_restarted(
    int instance, steady::time_point from, steady::time_point to) const
{
    return std::any_of(
        disturbances_.begin(), disturbances_.end(), [&](const auto& span) {
            return span.instance == instance &&
                   (span.kind == disturbance_kind::restarted ||
                    span.kind == disturbance_kind::planned_stop) &&
                   span.from <= to && from <= span.until;
        });
}

invariant_checker::attempts_by_id invariant_checker::attempts_with_ids() const
{
    attempts_by_id by_id;
    for (const auto& record : attempts_)
        by_id[record.id] = &record;
    return by_id;
}

std::vector<std::string> invariant_checker::find_violations() const
{
    const std::lock_guard lock{mutex_};
    std::vector<std::string> violations;
    check_answers(violations);
    check_at_most_once(violations);
    check_destinations(violations);
    check_planned_stops(violations);
    check_configuration(violations);
    check_starts(violations);
    check_downgrades(violations);
    check_extra_attempts(violations);
    check_leaving(violations);
    check_pauses(violations);
    check_rate_limits(violations);
    check_crashes(violations);
    check_cuts(violations);
    check_recoveries(violations);
    check_memory(violations);
    check_late_readers(violations);
    for (const int instance : own_ends_)
        violations.push_back(
            "instance " + std::to_string(instance) + " ended by itself");
    return violations;
}

void invariant_checker::check_answers(
    std::vector<std::string>& violations) const
{
    for (const auto& record : attempts_) {
        if (record.status != 200 || record.body_checked)
            continue;
        if (record.path.starts_with("/search/"))
            check_search(record, violations);
        else if (record.body != body_of(record.id, answer_bytes(record.path)))
            violations.push_back(
                "mixed: " + record.id + " got \"" + record.body.substr(0, 80) +
                "\"");
    }
}

void invariant_checker::check_search(
    const attempt_record& record, std::vector<std::string>& violations) const
{
    std::set<std::string> services;
    std::vector<std::string> records;
    for (const auto& stamp : split(record.part_stamps)) {
        const auto dot = stamp.find('.');
        if (stamp.substr(0, dot) != record.id) {
            violations.push_back("mixed: " + record.id + " has part " + stamp);
            return;
        }
        const auto service = stamp.substr(dot + 1);
        if (!services.insert(service).second)
            violations.push_back("doubled: " + record.id + " has " + service);
        const auto service_records = records_of(record.id, service);
        records.insert(
            records.end(), service_records.begin(), service_records.end());
    }
    std::sort(records.begin(), records.end(), std::greater<>{});
    records.resize(std::min<std::size_t>(records.size(), top_records));
    std::string expected;
    for (const auto& entry : records)
        expected += entry;
    if (record.body != expected)
        violations.push_back("wrong records: " + record.id);
    const auto missing =
        record.missing_shards.empty() ? 0U : std::stoul(record.missing_shards);
    if (services.size() + missing != shards_)
        violations.push_back("wrong coverage: " + record.id);
}

void invariant_checker::check_at_most_once(
    std::vector<std::string>& violations) const
{
    std::unordered_map<std::string, int> executions;
    for (const auto& execution : executions_)
        ++executions[execution.id];
    for (const auto& record : attempts_) {
        const auto found = executions.find(record.id);
        const int count = found == executions.end() ? 0 : found->second;
        if (record.at_most_once && count > 1)
            violations.push_back("twice: " + record.id);
        const bool refused = record.status == 503 || record.status == 429 ||
                             record.status == 408 || record.status == 421;
        if (refused && count > 0)
            violations.push_back(
                "refused, but ran: " + record.id +
                (record.at_most_once ? "" : ", which may be repeated"));
        const bool final = record.status >= 200 && record.status < 600;
        if (record.malformed || (record.status != 0 && !final))
            violations.push_back(
                "no final status: " + record.id + ", " +
                std::to_string(record.status));
    }
}

void invariant_checker::check_destinations(
    std::vector<std::string>& violations) const
{
    const auto by_id = attempts_with_ids();
    for (const auto& execution : executions_) {
        const auto found = by_id.find(execution.id);
        if (found == by_id.end()) {
            violations.push_back("unasked: " + execution.id);
            continue;
        }
        if (execution.replica.starts_with(foreign_id))
            violations.push_back(
                "run by a foreign server: " + execution.id + " at " +
                execution.replica);
        const int instance = found->second->instance;
        if (const auto drained = drain_times_.find(execution.replica);
            drained != drain_times_.end() &&
            execution.at > drained->second + drain_bound &&
            !is_disturbed(instance, execution.at, execution.at))
            violations.push_back("sent to a leaving replica: " + execution.id);
        for (const auto& [domain, span] : evacuations_) {
            if (execution.domain == domain &&
                execution.at > span.first + evacuation_bound &&
                execution.at < span.second &&
                !is_disturbed(instance, execution.at, execution.at))
                violations.push_back(
                    "sent to an evacuated domain: " + execution.id);
        }
    }
}

void invariant_checker::check_planned_stops(
    std::vector<std::string>& violations) const
{
    std::set<std::string> executed;
    for (const auto& execution : executions_)
        executed.insert(execution.id);
    for (const auto& span : disturbances_) {
        if (span.kind != disturbance_kind::planned_stop)
            continue;
        for (const auto& record : attempts_) {
            const bool sent_during_stop =
                record.instance == span.instance &&
                record.sent >= span.from - milliseconds{50} &&
                record.sent <= span.until;
            const bool crossed = record.on_idle_connection &&
                                 !executed.contains(record.id) &&
                                 record.ended - record.sent <= crossing_time;
            const bool cut =
                record.status == 0 && !record.refused_to_connect && !crossed;
            const bool refused_late =
                record.on_idle_connection && record.status == 503 &&
                record.ended - record.sent > refusal_bound;
            const bool otherwise_disturbed = std::any_of(
                disturbances_.begin(),
                disturbances_.end(),
                [&](const auto& other) {
                    return other.kind != disturbance_kind::planned_stop &&
                           (other.instance == record.instance ||
                            other.instance < 0) &&
                           other.from <= record.ended &&
                           record.sent <= other.until + recovery_allowance;
                });
            if (!sent_during_stop || otherwise_disturbed)
                continue;
            const auto described =
                record.id + record.path + ", sent " +
                milliseconds_text(record.sent - span.from) +
                " after the signal, ended after " +
                milliseconds_text(record.ended - record.sent);
            if (cut)
                violations.push_back("cut by a planned stop: " + described);
            if (refused_late)
                violations.push_back(
                    "refused late in a planned stop: " + described);
        }
    }
}

void invariant_checker::check_configuration(
    std::vector<std::string>& violations) const
{
    for (const auto& record : attempts_) {
        const auto found = publication_times_.find(record.path);
        if (found == publication_times_.end() || record.status != 404)
            continue;
        if (record.sent > found->second + config_bound &&
            !is_disturbed(record.instance, record.sent, record.sent))
            violations.push_back(
                "configuration not in force: " + record.id + ", " +
                record.path + " at instance " +
                std::to_string(record.instance) + ", " +
                milliseconds_text(record.sent - found->second) +
                " after its publication");
    }
}

void invariant_checker::check_starts(std::vector<std::string>& violations) const
{
    for (const auto& record : attempts_) {
        if (is_unconfigured(record) &&
            !is_disturbed(record.instance, record.sent, record.ended))
            violations.push_back(
                "without a configuration: " + record.id + " at instance " +
                std::to_string(record.instance));
    }
}

void invariant_checker::check_downgrades(
    std::vector<std::string>& violations) const
{
    std::map<std::pair<int, std::string>, steady::time_point> served;
    for (const auto& record : attempts_) {
        if (!publication_times_.contains(record.path))
            continue;
        const std::pair key{record.instance, record.path};
        if (record.status == 200)
            served.try_emplace(key, record.ended);
        else if (const auto before = served.find(key);
                 record.status == 404 && before != served.end() &&
                 before->second < record.sent) {
            if (is_restarted(record.instance, before->second, record.ended))
                served.erase(before);
            else
                violations.push_back(
                    "configuration came back older: " + record.id);
        }
    }
}

void invariant_checker::check_leaving(
    std::vector<std::string>& violations) const
{
    const auto by_id = attempts_with_ids();
    // By instance and replica: when the instance had passed on an answer in
    // which the replica said that it is leaving.
    std::map<std::pair<int, std::string>, steady::time_point> passed_on;
    for (const auto& notice : notices_) {
        const auto found = by_id.find(notice.id);
        if (notice.pause > milliseconds{} || found == by_id.end())
            continue;
        const auto& attempt = *found->second;
        const bool is_part =
            !attempt.path.starts_with("/search/") ||
            attempt.part_stamps.find(notice.id + "." + notice.service) !=
                std::string::npos;
        if (attempt.status != 200 || !is_part)
            continue;
        const auto [first, added] = passed_on.try_emplace(
            {attempt.instance, notice.replica_start}, attempt.ended);
        if (!added)
            first->second = std::min(first->second, attempt.ended);
    }
    for (const auto& arrival : arrivals_) {
        const auto found = by_id.find(arrival.id);
        if (found == by_id.end())
            continue;
        const auto& attempt = *found->second;
        const auto passed =
            passed_on.find({attempt.instance, arrival.replica_start});
        if (passed != passed_on.end() &&
            attempt.sent > passed->second + drain_bound &&
            !is_interrupted(attempt.instance, passed->second, arrival.at))
            violations.push_back(
                "sent to a replica that said it leaves: " + arrival.id +
                " by instance " + std::to_string(attempt.instance));
    }
}

void invariant_checker::check_pauses(std::vector<std::string>& violations) const
{
    const auto by_id = attempts_with_ids();
    std::map<std::pair<int, std::string>, std::vector<steady::time_point>>
        arrivals;
    for (const auto& arrival : arrivals_) {
        if (const auto found = by_id.find(arrival.id); found != by_id.end())
            arrivals[{found->second->instance, arrival.replica_start}]
                .push_back(arrival.at);
    }
    for (const auto& notice : notices_) {
        const auto found = by_id.find(notice.id);
        if (notice.pause == milliseconds{} || found == by_id.end())
            continue;
        const int instance = found->second->instance;
        const auto end = notice.at + notice.pause;
        const auto& times = arrivals[{instance, notice.replica_start}];
        std::size_t count = 0;
        auto first = end;
        for (const auto at : times) {
            if (at <= notice.at + pause_bound || at >= end)
                continue;
            ++count;
            first = std::min(first, at);
        }
        if (count > max_requests_in_pause &&
            !is_interrupted(instance, notice.at, end))
            violations.push_back(
                std::to_string(count) + " requests to the paused replica " +
                notice.replica_start + " by instance " +
                std::to_string(instance) + " within " +
                milliseconds_text(notice.pause) + " of the refusal of " +
                notice.id + ", whose caller got " +
                std::to_string(found->second->status) + " after " +
                milliseconds_text(found->second->ended - found->second->sent) +
                ", the first after " + milliseconds_text(first - notice.at));
    }
}

void invariant_checker::check_rate_limits(
    std::vector<std::string>& violations) const
{
    struct limited_span
    {
        double per_second;
        steady::time_point from;
        steady::time_point until;
        /// By instance: when it was first told.
        std::map<int, steady::time_point> told;
    };
    const auto by_id = attempts_with_ids();
    std::map<std::string, limited_span> spans;
    for (const auto& limit : rate_limits_) {
        auto& span =
            spans
                .try_emplace(
                    limit.replica_start,
                    limited_span{limit.per_second, limit.at, limit.at, {}})
                .first->second;
        span.until = limit.at;
        const auto found = by_id.find(limit.id);
        if (found != by_id.end() && found->second->status == 200)
            span.told.try_emplace(
                found->second->instance, found->second->ended);
    }
    std::map<std::string, std::vector<steady::time_point>> counted;
    for (const auto& arrival : arrivals_) {
        const auto span = spans.find(arrival.replica_start);
        const auto found = by_id.find(arrival.id);
        if (span == spans.end() || found == by_id.end() ||
            arrival.at > span->second.until ||
            arrival.at < span->second.from + rate_limit_bound)
            continue;
        const int instance = found->second->instance;
        const auto told = span->second.told.find(instance);
        if (told != span->second.told.end() &&
            arrival.at > told->second + rate_limit_notice &&
            !is_interrupted(instance, span->second.from, arrival.at))
            counted[arrival.replica_start].push_back(arrival.at);
    }
    for (auto& [replica, times] : counted) {
        std::sort(times.begin(), times.end());
        const double allowed =
            rate_limit_factor * spans.at(replica).per_second *
                std::chrono::duration<double>{rate_limit_span}.count() +
            rate_limit_allowance;
        for (auto first = times.begin(), last = first; last != times.end();
             ++last) {
            while (*last - *first >= rate_limit_span)
                ++first;
            if (static_cast<double>(last - first + 1) <= allowed)
                continue;
            violations.push_back(
                std::to_string(last - first + 1) +
                " requests within 4 s to the replica " + replica +
                ", allowed " + std::to_string(allowed));
            break;
        }
    }
}

void invariant_checker::check_crashes(
    std::vector<std::string>& violations) const
{
    const auto by_id = attempts_with_ids();
    // By the path of a crashing request.
    std::map<std::string, std::set<std::string>> crashed;
    std::map<std::string, std::vector<const arrival_record*>> arrived;
    for (const auto& arrival : arrivals_) {
        const auto found = by_id.find(arrival.id);
        if (found == by_id.end() ||
            found->second->path.find("/crash-") == std::string::npos)
            continue;
        const auto& path = found->second->path;
        crashed[path].insert(arrival.replica_start);
        arrived[path].push_back(&arrival);
    }
    for (const auto& [path, starts] : crashed) {
        std::vector<steady::time_point> times;
        for (const auto& start : starts) {
            if (const auto found = crash_times_.find(start);
                found != crash_times_.end())
                times.push_back(found->second);
        }
        if (times.size() < 3)
            continue;
        std::sort(times.begin(), times.end());
        const auto late = std::count_if(
            arrived[path].begin(), arrived[path].end(), [&](const auto* each) {
                return each->at > times[2] + crash_bound &&
                       !is_interrupted(
                           by_id.at(each->id)->instance,
                           each->at - recovery_allowance,
                           each->at);
            });
        if (static_cast<std::size_t>(late) > max_late_arrivals)
            violations.push_back(
                "crashed " + std::to_string(starts.size()) + " replicas, " +
                std::to_string(late) + " late arrivals: " + path);
    }
    for (const auto& record : attempts_) {
        const bool harmless = record.path.find("/crash-") == std::string::npos;
        if (harmless && record.status == 503 &&
            record.body.find("has crashed") != std::string::npos)
            violations.push_back("refused as crashing: " + record.id);
    }
}

void invariant_checker::check_cuts(std::vector<std::string>& violations) const
{
    // Until the others know it, an instance that is paused or was killed gets
    // requests of those that are cut off. One without a configuration is still
    // starting.
    std::vector<disturbance> interruptions;
    for (const auto& span : disturbances_) {
        if (span.kind == disturbance_kind::paused ||
            span.kind == disturbance_kind::restarted)
            interruptions.push_back(span);
    }
    for (const auto& record : attempts_) {
        if (is_unconfigured(record))
            interruptions.push_back(
                {record.instance,
                 record.sent,
                 record.ended,
                 disturbance_kind::restarted});
    }
    const auto any_interrupted = [&](const attempt_record& record) {
        return std::any_of(
            interruptions.begin(), interruptions.end(), [&](const auto& span) {
                return span.from <= record.ended &&
                       record.sent <= span.until + interruption_allowance;
            });
    };
    struct counts
    {
        std::size_t sent = 0;
        std::size_t served = 0;
    };
    std::map<steady::time_point, std::pair<counts, counts>> by_cut;
    for (const auto& record : attempts_) {
        for (const auto& span : disturbances_) {
            if (span.kind != disturbance_kind::cut_off ||
                record.sent < span.from + cut_bound ||
                record.ended > span.until || any_interrupted(record) ||
                record.path.starts_with(brittle_path))
                continue;
            const bool cut = std::any_of(
                disturbances_.begin(),
                disturbances_.end(),
                [&](const auto& other) {
                    return other.kind == disturbance_kind::cut_off &&
                           other.instance == record.instance &&
                           other.from <= record.sent &&
                           record.ended <= other.until;
                });
            auto& [of_cut, of_others] = by_cut[span.from];
            auto& group = cut ? of_cut : of_others;
            ++group.sent;
            group.served += record.status == 200 ? 1 : 0;
            break;
        }
    }
    for (const auto& [from, groups] : by_cut) {
        const auto& [cut, others] = groups;
        const auto share = [](const counts& of) {
            return of.sent == 0 ? 1.0
                                : static_cast<double>(of.served) /
                                      static_cast<double>(of.sent);
        };
        const auto failed = cut.sent - cut.served;
        // Without requests at the others there is nothing to compare with.
        if (others.sent > 0 && share(cut) < min_cut_share * share(others) &&
            failed > cut_allowance + (cut.sent + others.sent) / 50)
            violations.push_back(
                "cut off: " + std::to_string(cut.served) + " of " +
                std::to_string(cut.sent) + " served, by the others " +
                std::to_string(others.served) + " of " +
                std::to_string(others.sent));
    }
}

void invariant_checker::check_recoveries(
    std::vector<std::string>& violations) const
{
    for (const auto& [from, until] : recoveries_) {
        std::size_t served = 0;
        std::size_t attempted = 0;
        for (const auto& record : attempts_) {
            if (record.sent < from || record.sent > until)
                continue;
            ++attempted;
            served += record.status == 200 ? 1 : 0;
        }
        if (static_cast<double>(served) <
            min_served_share * static_cast<double>(attempted))
            violations.push_back(
                "not recovered: " + std::to_string(served) + " of " +
                std::to_string(attempted) +
                " served after all processes had ended");
    }
}

void invariant_checker::check_extra_attempts(
    std::vector<std::string>& violations) const
{
    std::map<std::string, std::vector<steady::time_point>> first_times;
    std::map<std::string, std::vector<steady::time_point>> extra_times;
    std::set<std::pair<std::string, std::string>> first;
    for (const auto& execution : executions_) {
        const bool added =
            first.emplace(execution.id, execution.service).second;
        (added ? first_times : extra_times)[execution.service].push_back(
            execution.at);
    }
    const auto within = [](const auto& times, auto from, auto to) {
        return std::count_if(times.begin(), times.end(), [&](auto at) {
            return at > from && at <= to;
        });
    };
    for (const auto& [service, times] : extra_times) {
        for (const auto at : times) {
            const auto from = at - extra_attempt_window;
            const double allowed =
                extra_attempt_ratio * static_cast<double>(within(
                                          first_times[service], from, at)) +
                extra_attempt_base;
            const auto extra_count = within(times, from, at);
            if (static_cast<double>(extra_count) > allowed) {
                violations.push_back("too many extra attempts at " + service);
                break;
            }
        }
    }
}

} // namespace peridotward::soak
