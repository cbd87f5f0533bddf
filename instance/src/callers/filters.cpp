#include "callers/filters.hpp"

#include <peridotward/config/sha256.hpp>

#include <algorithm>
#include <charconv>

namespace peridotward {

namespace {

constexpr std::size_t max_request_id_length = 128;
constexpr std::int64_t max_deadline_ms = 60'000;
constexpr std::int64_t default_deadline_ms = 1000;

bool is_valid_id(std::string_view id)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
    return !id.empty() && id.size() <= max_request_id_length &&
           id.find_first_not_of(allowed) == std::string_view::npos;
}

result<std::int64_t> requested_deadline_ms(const request_context& context)
{
    const auto found = context.body.find("deadline_ms");
    if (context.body.is_object() && found != context.body.end()) {
        if (!found->is_number_integer())
            return fail(
                error_kind::deadline_invalid,
                "deadline_ms: expected an integer, found " + found->dump());
        return found->get<std::int64_t>();
    }
    const auto text = find_header(context.http.query, "deadline_ms");
    if (text.empty())
        return default_deadline_ms;
    std::int64_t parsed = 0;
    const auto* end = text.data() + text.size();
    const auto [last, code] = std::from_chars(text.data(), end, parsed);
    if (code != std::errc{} || last != end)
        return fail(
            error_kind::deadline_invalid,
            "deadline_ms: expected an integer, found \"" + std::string{text} +
                "\"");
    return parsed;
}

} // namespace

result<void> readiness_filter::apply(request_context& context) const
{
    if (!state->in_force)
        return fail(error_kind::not_ready, state->not_ready_reason());
    context.in_force = state->in_force;
    return {};
}

result<void> body_filter::apply(request_context& context) const
{
    if (context.http.method != "POST")
        return {};
    auto parsed = parse_json(context.http.body);
    if (!parsed)
        return tl::unexpected{parsed.error()};
    if (!parsed->is_object())
        return fail(error_kind::bad_request, "the body is not an object");
    context.body = std::move(*parsed);
    return {};
}

result<void> request_id_filter::apply(request_context& context) const
{
    if (context.body.is_object() && context.body.contains("request_id")) {
        const auto& id = context.body["request_id"];
        if (!id.is_string() || !is_valid_id(id.get_ref<const std::string&>()))
            return fail(
                error_kind::bad_request,
                "request_id: expected 1 to 128 letters, digits, \"-_.:\"");
        context.request_id = id.get<std::string>();
        return {};
    }
    const auto id = find_header(context.http.query, "request_id");
    if (!id.empty() && !is_valid_id(id))
        return fail(
            error_kind::bad_request,
            "request_id: expected 1 to 128 letters, digits, \"-_.:\"");
    context.request_id = id;
    if (id.empty())
        context.request_id =
            state->process_name + "." + std::to_string(state->random.next());
    return {};
}

result<void> caller_class_filter::apply(request_context& context) const
{
    const auto& trust = state->configured.trust;
    const auto token = find_header(context.http.headers, "caller-token");
    std::string name = trust.default_class;
    if (!token.empty()) {
        const auto digest = sha256_hex(token);
        const auto match = std::find_if(
            trust.tokens.begin(),
            trust.tokens.end(),
            [&](const caller_token& entry) { return entry.sha256 == digest; });
        if (match == trust.tokens.end())
            return fail(
                error_kind::unauthorized, "the caller's token is not known");
        name = match->caller_class;
    }
    else if (trust.require_token) {
        return fail(error_kind::unauthorized, "header Caller-Token is missing");
    }
    const auto index = context.in_force->find_class(name);
    if (index.valid())
        context.priority = context.in_force->classes[index.position()].priority;
    return {};
}

result<void> duplicate_filter::apply(request_context& context) const
{
    if (!state->running_request_ids.insert(context.request_id).second)
        return fail(
            error_kind::duplicate_request,
            "request \"" + context.request_id + "\" is running here");
    context.registered = true;
    return {};
}

result<void> deadline_filter::apply(request_context& context) const
{
    const auto requested = requested_deadline_ms(context);
    if (!requested)
        return tl::unexpected{requested.error()};
    if (*requested < 1 || *requested > max_deadline_ms)
        return fail(
            error_kind::deadline_invalid,
            "deadline_ms: expected 1.." + std::to_string(max_deadline_ms) +
                ", found " + std::to_string(*requested));
    context.deadline = context.arrived + milliseconds{*requested};
    return {};
}

} // namespace peridotward
