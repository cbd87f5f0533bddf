// The forwarder's answers to requests that crash upstreams and to a loss of
// contact with all upstreams.

#include "forward_operation.hpp"
#include "relay_operation.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace peridotward {

namespace {

/// Interval between probes of silent upstreams, and upstreams in each.
constexpr milliseconds probe_interval{250};
constexpr std::size_t probed_upstreams = 3;

} // namespace

void forwarder::log_crash_level(
    request_fingerprint fingerprint, std::string_view source)
{
    const auto now = loop_->now();
    const auto level = crash_history_.mark_of(fingerprint, now).level;
    log_->write(
        now,
        event_severity::notable,
        level >= crash_history::quarantine_level ? "request_quarantined"
                                                 : "request_suspected",
        {{"fingerprint", to_text(fingerprint)},
         {"crashes", level},
         {"source", source}});
}

void forwarder::exchange_crash_history()
{
    std::vector<outgoing_message> messages;
    crash_history_exchange_.poll(fleet_, loop_->now(), messages);
    if (!messages.empty() && send_to_peers)
        send_to_peers(std::move(messages));
}

void forwarder::on_interrupted(
    replica_number number,
    const request_fingerprints& fingerprints,
    const crash_history::marks& sent_with)
{
    interrupted_requests_.add({number, fingerprints, sent_with, loop_->now()});
    pool_.probe(number);
}

void forwarder::on_replica_ended(replica_number number)
{
    const auto now = loop_->now();
    const auto interrupted = interrupted_requests_.take(number, now);
    if (interrupted.empty())
        return;
    const auto& published = catalog_.at(number).published;
    stats_->count(
        "upstream_crashes_total{service=\"" + published.service + "\"}");
    log_->write(
        now,
        event_severity::notable,
        "upstream_crashed",
        {{"replica", published.id},
         {"service", published.service},
         {"address", published.address.text()},
         {"requests", interrupted.size()}});
    bool raised = false;
    for (const auto& each : interrupted) {
        for (const auto fingerprint :
             crash_history_.on_crash(each.request, each.sent_with, now)) {
            raised = true;
            log_crash_level(fingerprint, "own");
        }
    }
    if (raised)
        exchange_crash_history();
}

void forwarder::probe_upstreams(time_point now)
{
    const auto live = catalog_.live();
    if (now < next_probe_ || live.empty())
        return;
    next_probe_ = now + probe_interval;
    for (std::size_t i = 0; i < probed_upstreams; ++i)
        pool_.probe(live[random_.below(live.size())]);
}

void forwarder::check_upstream_contact(time_point now)
{
    auto& contact = pool_.contact();
    contact.check(catalog_.live().size(), now);
    if (contact.silent(now))
        probe_upstreams(now);
    if (std::exchange(contact_lost_, contact.lost()) == contact.lost())
        return;
    log_->write(
        now,
        event_severity::notable,
        contact.lost() ? "upstreams_lost" : "upstreams_regained",
        {{"replicas", catalog_.live().size()}});
    replaced_ = false;
    if (!contact.lost())
        return;
    std::vector<boost::intrusive_ptr<request_state>> open;
    for (auto& each : operations_)
        open.emplace_back(&each);
    for (auto& each : quota_waits_)
        open.emplace_back(&each);
    for (const auto& each : open)
        each->on_upstreams_lost();
    // Bytes that the cut holds up would arrive at its end.
    pool_.close_unused();
}

bool forwarder::is_behind(
    const request_message& request,
    const std::optional<pinned_route>& route) const
{
    const auto text = request.fields.find(names_->relayed_config);
    if (!text)
        return false;
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    const auto* const end = text->data() + text->size();
    const auto* const space = std::from_chars(text->data(), end, version).ptr;
    if (space != end)
        std::from_chars(space + 1, end, digest);
    return version > config_->version && (!route || route->digest() != digest);
}

void forwarder::refuse_unreachable(
    http_session& session, std::string_view reason, std::string_view relayed)
{
    const auto now = loop_->now();
    refuse(
        session,
        503,
        reason,
        retry_schedules_[""].reserve(0, now + probe_interval, now),
        names_->relayed + ": " + std::string{relayed} + "\r\n");
}

void forwarder::relay(
    http_session& session,
    const pinned_route& route,
    const forward_times& times,
    const std::string& request_id,
    attempt_execution execution)
{
    const boost::intrusive_ptr<relay_operation> operation{new relay_operation{
        *this, session, route, times, request_id, execution}};
    session.state = operation;
    operation->begin();
}

std::string_view forwarder::caller_of(const http_session& session) const
{
    const auto& host = session.caller_host();
    const auto relayed = session.request().fields.find(names_->relayed);
    if (!relayed)
        return host;
    return is_instance(host) ? *relayed : host;
}

bool forwarder::is_instance(const std::string& host) const
{
    return std::any_of(
        fleet_.others.begin(), fleet_.others.end(), [&](const auto& id) {
            return id.size() > host.size() && id.starts_with(host) &&
                   id[host.size()] == ':';
        });
}

std::size_t forwarder::extra_head_bytes(const http_session& session) const
{
    return is_instance(session.caller_host()) ? relay_head_bytes : 0;
}

bool forwarder::refuse_quarantined(
    http_session& session, const request_fingerprints& fingerprints)
{
    const auto now = loop_->now();
    if (crash_history_.trust(fingerprints, now) != request_trust::quarantined)
        return false;
    stats_->count("quarantined_requests_total");
    refuse(
        session,
        503,
        "not run: request " + to_text(fingerprints.exact) +
            " has crashed the upstreams that ran it",
        std::chrono::ceil<milliseconds>(
            crash_history_.quarantined_until(fingerprints, now) - now));
    return true;
}

} // namespace peridotward
