#include "log_timeline.hpp"

#include <peridotward/base/log_text.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>

namespace peridotward::ctl {

namespace {

/// Events that change an instance's state, or its view of the members, the
/// store, the failure domains or the configuration.
constexpr std::array<std::string_view, 14> instance_state_events{
    "started",
    "ready",
    "stopping",
    "config_in_force",
    "config_rejected",
    "config_read",
    "store_era",
    "store_history_gone",
    "store_listed",
    "store_lost",
    "store_regained",
    "domain_evacuated",
    "domain_returned",
    "members_changed"};
/// Events that change an instance's view of one replica.
constexpr std::array<std::string_view, 6> replica_state_events{
    "upstream_published",
    "upstream_leaving",
    "upstream_paused",
    "upstream_rate_limited",
    "upstream_rate_limit_ended",
    "replica_ended"};

/// Fields of `replicas_unusable`: replicas of the missing parts that got no
/// attempt, by the reason.
constexpr std::array<std::pair<std::string_view, std::string_view>, 4>
    unusable_replica_fields{
        {{"excluded", "draining, leaving or in a domain that is out"},
         {"paused", "that had asked for a pause by Retry-After"},
         {"unreachable", "that could not be connected to"},
         {"rate_limited", "whose rate limit was used up"}}};

template<std::size_t Size>
bool any_of(
    const std::array<std::string_view, Size>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Removes the first `key=value` from `line` and unescapes the value, as
/// `append_log_value` escaped it. Returns nothing for malformed text.
std::optional<std::pair<std::string, std::string>>
extract_field(std::string_view& line)
{
    const auto equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0)
        return std::nullopt;
    std::pair<std::string, std::string> field{line.substr(0, equals), ""};
    line.remove_prefix(equals + 1);
    if (line.empty() || line.front() != '"') {
        const auto end = std::min(line.find(' '), line.size());
        field.second = line.substr(0, end);
        line.remove_prefix(std::min(end + 1, line.size()));
        return field;
    }
    line.remove_prefix(1);
    while (!line.empty() && line.front() != '"') {
        if (line.front() == '\\')
            line.remove_prefix(1);
        if (line.empty())
            return std::nullopt;
        field.second += line.front();
        line.remove_prefix(1);
    }
    if (line.empty())
        return std::nullopt;
    line.remove_prefix(std::min<std::size_t>(2, line.size()));
    return field;
}

struct parsed_line
{
    log_line line;
    wall_time logged_at;
};

std::optional<parsed_line> parse_line(std::string_view text)
{
    parsed_line parsed;
    bool has_time = false;
    bool has_monotonic_us = false;
    while (!text.empty()) {
        auto field = extract_field(text);
        if (!field)
            return std::nullopt;
        auto& [key, value] = *field;
        if (key == "time") {
            const auto time = parse_log_time(value);
            has_time = time.has_value();
            parsed.logged_at = time.value_or(wall_time{});
        }
        else if (key == "t") {
            const auto* end = value.data() + value.size();
            const auto [stop, error] =
                std::from_chars(value.data(), end, parsed.line.monotonic_us);
            has_monotonic_us = error == std::errc{} && stop == end;
        }
        else if (key == "instance")
            parsed.line.instance = std::move(value);
        else if (key == "event")
            parsed.line.event = std::move(value);
        else
            parsed.line.fields.push_back(std::move(*field));
    }
    const bool is_complete = has_time && has_monotonic_us &&
                             !parsed.line.instance.empty() &&
                             !parsed.line.event.empty();
    return is_complete ? std::optional{std::move(parsed)} : std::nullopt;
}

std::int64_t median_of(std::vector<std::int64_t> values)
{
    const auto median_position =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), median_position, values.end());
    return *median_position;
}

std::string counted_noun(std::size_t count, std::string_view noun)
{
    return std::to_string(count) + " " + std::string{noun} +
           (count == 1 ? "" : "s");
}

/// \returns The number of failed attempts by outcome, with their replicas.
std::string summarize_failures(const std::vector<log_line>& timeline)
{
    std::map<std::string, std::set<std::string>> by_outcome;
    std::map<std::string, std::size_t> counts;
    for (const auto& line : timeline) {
        if (line.event != "attempt_failed")
            continue;
        const std::string outcome{line.field("outcome")};
        ++counts[outcome];
        by_outcome[outcome].emplace(line.field("replica"));
    }
    std::string text;
    for (const auto& [outcome, replicas] : by_outcome) {
        text += text.empty() ? "" : "; ";
        text +=
            counted_noun(counts[outcome], "attempt") + " " + outcome + " at";
        for (const auto& replica : replicas)
            text += " " + replica;
    }
    return text.empty() ? "no attempt failed" : text;
}

} // namespace

std::string_view log_line::field(std::string_view name) const
{
    for (const auto& [key, value] : fields) {
        if (key == name)
            return value;
    }
    return {};
}

std::string render(const log_line& line)
{
    std::string text;
    append_log_time(text, line.at);
    text += "  " + line.instance + "  " + line.event;
    for (const auto& [key, value] : line.fields) {
        if (key == "request")
            continue;
        text += "  " + key + "=";
        append_log_value(text, value);
    }
    return text;
}

void log_timeline::add_log(std::string_view text)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        auto parsed = parse_line(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!parsed) {
            ++invalid_lines_;
            continue;
        }
        auto& process_logs = processes_[parsed->line.instance];
        if (process_logs.empty() || parsed->line.event == "started")
            process_logs.emplace_back();
        const auto logged_at =
            std::chrono::microseconds{parsed->logged_at.time_since_epoch()}
                .count();
        process_logs.back().offsets.push_back(
            logged_at - static_cast<std::int64_t>(parsed->line.monotonic_us));
        process_logs.back().lines.push_back(std::move(parsed->line));
    }
}

std::vector<log_line>
log_timeline::request_lines(std::string_view request) const
{
    std::vector<log_line> timeline;
    for (const auto& [instance, process_logs] : processes_) {
        for (const auto& process_log : process_logs) {
            std::set<std::string, std::less<>> replicas;
            std::uint64_t first_us = 0;
            std::uint64_t last_us = 0;
            for (const auto& line : process_log.lines) {
                if (line.field("request") != request)
                    continue;
                first_us = first_us == 0 ? line.monotonic_us : first_us;
                last_us = line.monotonic_us;
                replicas.emplace(line.field("replica"));
            }
            if (first_us == 0)
                continue;
            // The median offset ignores temporary jumps of the wall clock.
            const auto offset = median_of(process_log.offsets);
            const auto window_us = static_cast<std::uint64_t>(
                std::chrono::microseconds{context_window}.count());
            for (const auto& line : process_log.lines) {
                const bool names_request = line.field("request") == request;
                const bool in_window =
                    line.monotonic_us + window_us >= first_us &&
                    line.monotonic_us <= last_us;
                const bool is_state_change =
                    any_of(instance_state_events, line.event) ||
                    (any_of(replica_state_events, line.event) &&
                     replicas.contains(line.field("replica")));
                if (!names_request && !(in_window && is_state_change))
                    continue;
                timeline.push_back(line);
                timeline.back().at = wall_time{
                    std::chrono::duration_cast<milliseconds>(microseconds{
                        static_cast<std::int64_t>(line.monotonic_us) +
                        offset})};
            }
        }
    }
    std::stable_sort(
        timeline.begin(), timeline.end(), [](const auto& a, const auto& b) {
            return a.at < b.at;
        });
    return timeline;
}

std::string log_timeline::summarize(const std::vector<log_line>& timeline)
{
    const auto find = [&](std::string_view event) {
        return std::find_if(
            timeline.begin(), timeline.end(), [&](const auto& line) {
                return line.event == event;
            });
    };
    const auto end = find("request_end");
    const auto refused = find("request_refused");
    if (end == timeline.end() && refused != timeline.end())
        return "refused before it was forwarded: " +
               std::string{refused->field("reason")};
    if (end == timeline.end())
        return "the end of the request was not logged (the instance ended, or "
               "the line limit of that second was exceeded): " +
               summarize_failures(timeline);
    const std::string outcome{end->field("outcome")};
    const std::string parts = std::string{end->field("in")} + " of " +
                              std::string{end->field("parts")} + " parts in " +
                              std::string{end->field("took")};
    std::string why = summarize_failures(timeline);
    const auto unusable = find("replicas_unusable");
    for (const auto& [field, meaning] : unusable_replica_fields) {
        const auto count = unusable == timeline.end() ? std::string_view{}
                                                      : unusable->field(field);
        if (!count.empty() && count != "0")
            why += "; replicas " + std::string{meaning} + ": " +
                   std::string{count};
    }
    if (end->field("caller_left") == "1")
        why = "the caller disconnected; " + why;
    if (outcome == "complete" || outcome == "partial")
        why += end->field("repeats") == "0"
                   ? "; no extra attempt was sent"
                   : "; extra attempts sent: " +
                         std::string{end->field("repeats")};
    return outcome + ", " + parts + ": " + why;
}

} // namespace peridotward::ctl
