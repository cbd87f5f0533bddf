#include "notice_fields.hpp"

#include <peridotward/gateway/load_field.hpp>
#include <peridotward/gateway/retry_after.hpp>

#include <charconv>
#include <cmath>

namespace peridotward {

namespace {

constexpr std::uint32_t service_unavailable = 503;

template<class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return value;
}

/// Parses whole milliseconds, which a fraction may follow.
std::optional<milliseconds> parse_time(std::string_view text)
{
    const auto value =
        parse_number<std::uint32_t>(text.substr(0, text.find('.')));
    return value ? std::optional{milliseconds{*value}} : std::nullopt;
}

/// Parses a decimal number of requests a second.
std::optional<double> parse_rate(std::string_view text)
{
    const auto value = parse_number<double>(text);
    if (!value || !std::isfinite(*value) || *value < 0)
        return std::nullopt;
    return value;
}

void read_rate_limit(
    const response_message& answer,
    const header_names& names,
    answer_notice& notice)
{
    const auto text = answer.fields.find(names.rate_limit);
    // A refusal may come from a part of the upstream that knows no limit.
    if (!text && answer.fields.find(names.not_run))
        return;
    notice.rate_limit = text ? parse_rate(*text) : std::nullopt;
    notice.tells_rate_limit = !text || notice.rate_limit;
}

} // namespace

answer_notice
read_notice(const response_message& answer, const header_names& names)
{
    answer_notice notice;
    if (const auto text = answer.fields.find(names.load))
        notice.load = parse_load_field(*text);
    if (const auto text = answer.fields.find(names.cold_left))
        notice.cold_left = parse_time(*text);
    notice.leaving = answer.fields.find(names.leaving).value_or("") == "1";
    read_rate_limit(answer, names, notice);
    const auto pause = answer.status == service_unavailable
                           ? answer.fields.find("Retry-After")
                           : std::nullopt;
    if (pause) {
        const auto time = parse_retry_after(*pause);
        if (time && *time > milliseconds{})
            notice.pause = *time;
    }
    return notice;
}

std::string name_upstream(const named_upstream& upstream)
{
    return upstream.id + " " + std::to_string(upstream.start_id);
}

std::optional<named_upstream>
read_upstream(const response_message& answer, const header_names& names)
{
    const auto text = answer.fields.find(names.relayed_upstream);
    const auto space = text ? text->find(' ') : std::string_view::npos;
    if (space == std::string_view::npos || space == 0)
        return std::nullopt;
    const auto start = parse_number<std::uint64_t>(text->substr(space + 1));
    if (!start)
        return std::nullopt;
    return named_upstream{std::string{text->substr(0, space)}, *start};
}

} // namespace peridotward
