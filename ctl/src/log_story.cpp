#include "log_story.hpp"

#include <peridotward/base/log_text.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <set>

namespace peridotward::ctl {

namespace {

/// Events that change what an instance believes of its surroundings.
constexpr std::array<std::string_view, 10> belief_events{
    "started",
    "ready",
    "stopping",
    "config_in_force",
    "config_rejected",
    "store_lost",
    "store_regained",
    "domain_evacuated",
    "domain_returned",
    "members_changed"};
/// The same, about one replica.
constexpr std::array<std::string_view, 2> replica_events{
    "upstream_published", "replica_ended"};

template<std::size_t Size>
bool any_of(
    const std::array<std::string_view, Size>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Takes one `key=value` off the front of a line, undoing `append_log_value`.
std::optional<std::pair<std::string, std::string>>
take_field(std::string_view& line)
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
    wall_time civil;
};

std::optional<parsed_line> parse_line(std::string_view text)
{
    parsed_line parsed;
    bool has_time = false;
    bool has_tick = false;
    while (!text.empty()) {
        auto field = take_field(text);
        if (!field)
            return std::nullopt;
        auto& [key, value] = *field;
        if (key == "time") {
            const auto time = parse_log_time(value);
            has_time = time.has_value();
            parsed.civil = time.value_or(wall_time{});
        }
        else if (key == "t") {
            const auto* end = value.data() + value.size();
            const auto [stop, error] =
                std::from_chars(value.data(), end, parsed.line.tick);
            has_tick = error == std::errc{} && stop == end;
        }
        else if (key == "instance")
            parsed.line.instance = std::move(value);
        else if (key == "event")
            parsed.line.event = std::move(value);
        else
            parsed.line.fields.push_back(std::move(*field));
    }
    const bool whole = has_time && has_tick && !parsed.line.instance.empty() &&
                       !parsed.line.event.empty();
    return whole ? std::optional{std::move(parsed)} : std::nullopt;
}

std::int64_t middle_of(std::vector<std::int64_t> values)
{
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::string count_of(std::size_t count, std::string_view what)
{
    return std::to_string(count) + " " + std::string{what} +
           (count == 1 ? "" : "s");
}

/// What ended the attempts that failed, with how many each.
std::string failures_in(const std::vector<log_line>& story)
{
    std::map<std::string, std::set<std::string>> by_outcome;
    std::map<std::string, std::size_t> counts;
    for (const auto& line : story) {
        if (line.event != "attempt_failed")
            continue;
        const std::string outcome{line.field("outcome")};
        ++counts[outcome];
        by_outcome[outcome].emplace(line.field("replica"));
    }
    std::string text;
    for (const auto& [outcome, replicas] : by_outcome) {
        text += text.empty() ? "" : "; ";
        text += count_of(counts[outcome], "attempt") + " " + outcome + " at";
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

void log_story::read(std::string_view text)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        auto parsed = parse_line(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
        if (!parsed) {
            ++unreadable_;
            continue;
        }
        auto& lives = processes_[parsed->line.instance];
        if (lives.empty() || parsed->line.event == "started")
            lives.emplace_back();
        const auto civil =
            std::chrono::microseconds{parsed->civil.time_since_epoch()}.count();
        lives.back().offsets.push_back(
            civil - static_cast<std::int64_t>(parsed->line.tick));
        lives.back().lines.push_back(std::move(parsed->line));
    }
}

std::vector<log_line> log_story::of(std::string_view request) const
{
    std::vector<log_line> story;
    for (const auto& [instance, lives] : processes_) {
        for (const auto& life : lives) {
            std::set<std::string, std::less<>> replicas;
            std::uint64_t first = 0;
            std::uint64_t last = 0;
            for (const auto& line : life.lines) {
                if (line.field("request") != request)
                    continue;
                first = first == 0 ? line.tick : first;
                last = line.tick;
                replicas.emplace(line.field("replica"));
            }
            if (first == 0)
                continue;
            // A civil clock may jump for a while; the middle one holds.
            const auto offset = middle_of(life.offsets);
            const auto before = static_cast<std::uint64_t>(
                std::chrono::microseconds{context}.count());
            for (const auto& line : life.lines) {
                const bool own = line.field("request") == request;
                const bool near =
                    line.tick + before >= first && line.tick <= last;
                const bool told = any_of(belief_events, line.event) ||
                                  (any_of(replica_events, line.event) &&
                                   replicas.contains(line.field("replica")));
                if (!own && !(near && told))
                    continue;
                story.push_back(line);
                story.back().at = wall_time{
                    std::chrono::duration_cast<milliseconds>(microseconds{
                        static_cast<std::int64_t>(line.tick) + offset})};
            }
        }
    }
    std::stable_sort(
        story.begin(), story.end(), [](const auto& a, const auto& b) {
            return a.at < b.at;
        });
    return story;
}

std::string log_story::verdict(const std::vector<log_line>& story)
{
    const auto find = [&](std::string_view event) {
        return std::find_if(story.begin(), story.end(), [&](const auto& line) {
            return line.event == event;
        });
    };
    const auto end = find("request_end");
    const auto refused = find("request_refused");
    if (end == story.end() && refused != story.end())
        return "refused before it was forwarded: " +
               std::string{refused->field("reason")};
    if (end == story.end())
        return "its end was not logged (the instance ended, or the lines of "
               "that second were over their budget): " +
               failures_in(story);
    const std::string outcome{end->field("outcome")};
    const std::string parts = std::string{end->field("in")} + " of " +
                              std::string{end->field("parts")} + " parts in " +
                              std::string{end->field("took")};
    std::string why = failures_in(story);
    if (end->field("caller_left") == "1")
        why = "the caller left; " + why;
    if (outcome == "complete" || outcome == "partial")
        why += end->field("repeats") == "0"
                   ? "; no repeat was sent"
                   : "; repeats sent: " + std::string{end->field("repeats")};
    return outcome + ", " + parts + ": " + why;
}

} // namespace peridotward::ctl
