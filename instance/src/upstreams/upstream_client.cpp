#include "upstreams/upstream_client.hpp"

#include <peridotward/base/json.hpp>

#include <charconv>

namespace peridotward {

namespace {

constexpr seconds status_timeout{1};
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_gone = 410;
constexpr std::uint16_t http_too_many = 429;
constexpr std::uint16_t http_cancelled = 499;
constexpr std::uint16_t http_unavailable = 503;
constexpr std::uint16_t http_gateway_timeout = 504;

/// How much earlier than this instance the upstream times out, so that its
/// response arrives in time and shows that its slot is free again.
constexpr milliseconds answer_margin{5};

/// \returns The budget to send to the upstream, in whole milliseconds.
std::string deadline_text(duration budget)
{
    const auto upstream_budget =
        budget - std::min<duration>(answer_margin, budget / 2);
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(upstream_budget).count());
}

/// Parses a range such as "6-7".
snapshot_range parse_snapshots(std::string_view text)
{
    snapshot_range parsed;
    const auto* end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, parsed.oldest);
    if (first.ec != std::errc{} || first.ptr == end || *first.ptr != '-')
        return {};
    const auto second = std::from_chars(first.ptr + 1, end, parsed.newest);
    if (second.ec != std::errc{} || second.ptr != end)
        return {};
    return parsed;
}

upstream_report parse_report(const http_headers& headers)
{
    upstream_report report;
    report.phase =
        from_name<upstream_phase>(find_header(headers, "upstream-phase"))
            .value_or(upstream_phase::unknown);
    const auto in_flight = find_header(headers, "upstream-in-flight");
    std::from_chars(
        in_flight.data(),
        in_flight.data() + in_flight.size(),
        report.in_flight);
    report.snapshots =
        parse_snapshots(find_header(headers, "upstream-snapshots"));
    return report;
}

attempt_outcome
outcome_of(const client_response& response, upstream_phase phase)
{
    switch (response.outcome) {
    case transport_outcome::answered:
        break;
    case transport_outcome::not_sent:
        return attempt_outcome::not_sent;
    case transport_outcome::timed_out:
        return attempt_outcome::timed_out;
    case transport_outcome::broken:
        return attempt_outcome::broken;
    case transport_outcome::body_too_large:
        return attempt_outcome::malformed;
    }
    switch (response.status) {
    case http_ok:
        return attempt_outcome::answered;
    case http_gone:
        return attempt_outcome::wrong_snapshot;
    case http_cancelled:
        return attempt_outcome::cancelled;
    case http_gateway_timeout:
        return attempt_outcome::timed_out;
    case http_too_many:
        return attempt_outcome::shed;
    case http_unavailable:
        return phase == upstream_phase::draining ? attempt_outcome::draining
                                                 : attempt_outcome::shed;
    default:
        return attempt_outcome::broken;
    }
}

shard_response to_shard_response(client_response&& response)
{
    shard_response converted;
    converted.report = parse_report(response.headers);
    converted.outcome = outcome_of(response, converted.report.phase);
    converted.sent = response.outcome != transport_outcome::not_sent;
    converted.status = response.status;
    converted.elapsed = response.elapsed;
    converted.body = std::move(response.body);
    return converted;
}

} // namespace

void upstream_client::search(const shard_request& request, completion done)
{
    client_request call;
    call.to = request.to;
    call.method = "POST";
    call.path = "/v1/search";
    call.timeout = request.limits.budget;
    call.may_send = request.limits.may_send;
    call.headers = {{"Content-Type", "application/json"}};
    const json id = request.id;
    const json service = request.service;
    call.body = "{\"request\":" + id.dump() + ",\"service\":" + service.dump() +
                ",\"snapshot\":" + std::to_string(request.snapshot) +
                ",\"range\":[" + std::to_string(request.range.first) + "," +
                std::to_string(request.range.last) +
                "],\"deadline_ms\":" + deadline_text(request.limits.budget) +
                ",\"criteria\":" + request.criteria + "}";
    submit(std::move(call), std::move(done));
}

void upstream_client::cancel(const endpoint& to, const std::string& request)
{
    client_request call;
    call.to = to;
    call.method = "POST";
    call.path = "/v1/cancel";
    call.timeout = status_timeout;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = json{{"request", request}}.dump();
    submit(std::move(call), [](const shard_response&) {});
}

void upstream_client::status(const endpoint& to, completion done)
{
    client_request call;
    call.to = to;
    call.path = "/v1/status";
    call.timeout = status_timeout;
    submit(std::move(call), std::move(done));
}

void upstream_client::fetch(
    const endpoint& to,
    const std::string& request,
    const std::string& key,
    send_limits limits,
    completion done)
{
    client_request call;
    call.to = to;
    call.path = "/v1/records/" + key;
    call.timeout = limits.budget;
    call.may_send = std::move(limits.may_send);
    call.headers = {
        {"request-id", request}, {"deadline-ms", deadline_text(limits.budget)}};
    submit(std::move(call), std::move(done));
}

void upstream_client::append(
    const endpoint& to,
    const std::string& request,
    const std::string& entry,
    send_limits limits,
    completion done)
{
    client_request call;
    call.to = to;
    call.method = "POST";
    call.path = "/v1/entries";
    call.timeout = limits.budget;
    call.may_send = std::move(limits.may_send);
    call.fresh_connection = true;
    call.headers = {
        {"Content-Type", "application/json"},
        {"request-id", request},
        {"deadline-ms", deadline_text(limits.budget)}};
    call.body = entry;
    submit(std::move(call), std::move(done));
}

void upstream_client::submit(client_request request, completion done)
{
    request.headers.emplace_back("instance-domain", domain_);
    loop_->client().submit(
        std::move(request), [done = std::move(done)](client_response response) {
            done(to_shard_response(std::move(response)));
        });
}

} // namespace peridotward
