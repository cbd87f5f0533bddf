#include "forward_operation.hpp"
#include "forwarded_fields.hpp"
#include "notice_fields.hpp"

#include <peridotward/core/budgets/connection_share.hpp>
#include <peridotward/core/gather/record_merge.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

namespace {

/// Time after the caller's deadline until a connection without an answer is
/// closed; an answer that arrives within it leaves the connection usable.
constexpr milliseconds late_answer_time{250};

/// Time reserved for the answer to an attempt, in median latencies: an estimate
/// of how long a replica that isn't paused needs at most.
constexpr int answer_latency_factor = 2;

/// Parts of a search from this size count as memory in use while the others
/// are awaited, also if they are too small to be claimed.
constexpr std::size_t min_counted_part = 1024;

} // namespace

forward_operation::forward_operation(
    forwarder& owner,
    http_session& session,
    forwarded_request request,
    std::string request_id,
    const request_fingerprints& fingerprints)
    : owner_{&owner},
      session_{session},
      request_{std::move(request)},
      profile_{owner.profile_of(*request_.route())},
      request_id_{std::move(request_id)},
      fingerprints_{fingerprints},
      crash_marks_{
          owner.crash_history_.marks_of(fingerprints, owner.loop_->now())},
      charged_at_{owner.loop_->now()},
      head_{forwarded_request_head(
          session.request(),
          *owner.names_,
          account_for_upstreams(*request_.config(), request_.account().get()))},
      body_{session.request().body},
      has_length_{session.request().has_length},
      bodiless_{session.request().method == "HEAD"},
      relayed_{
          session.request().fields.find(owner.names_->relayed).has_value() &&
          owner.is_instance(session.caller_host())},
      timer_{[this] { on_timeout(); }}
{
    bodies_.resize(request_.part_count());
    signatures_.resize(request_.part_count());
    ++owner_->open_requests_;
    owner_->operations_.push_back(*this);
}

forward_operation::~forward_operation()
{
    reactor::disarm(timer_);
}

void forward_operation::begin()
{
    if (crash_marks_.level() > 0)
        request_.limit_to_trial();
    request_.begin(
        owner_->context(), *profile_, owner_->loop_->now(), actions_);
    execute_actions();
}

void forward_operation::on_timeout()
{
    const boost::intrusive_ptr<forward_operation> guard{this};
    request_.on_timeout(
        owner_->context(), *profile_, owner_->loop_->now(), actions_);
    execute_actions();
}

void forward_operation::execute_actions()
{
    if (executing_)
        return;
    executing_ = true;
    while (!actions_.sends.empty() || !unsent_attempts_.empty()) {
        const auto sends = std::exchange(actions_.sends, {});
        for (const auto& to_send : sends)
            send(to_send);
        for (const auto attempt : std::exchange(unsent_attempts_, {}))
            request_.on_result(
                attempt,
                forward_outcome::unsent,
                owner_->context(),
                *profile_,
                owner_->loop_->now(),
                actions_);
    }
    executing_ = false;
    if (const auto end = std::exchange(actions_.end, std::nullopt))
        finish(*end);
    else if (!request_.ended())
        owner_->loop_->arm(timer_, request_.next_wakeup());
}

std::string forward_operation::serialize_attempt(std::uint32_t attempt) const
{
    const auto& target = owner_->catalog_.at(request_.replica_of(attempt));
    const auto remaining = std::max(
        std::chrono::duration_cast<milliseconds>(
            request_.times().caller_deadline - owner_->loop_->now()),
        milliseconds{1});
    std::string bytes;
    bytes.reserve(head_.size() + body_.size() + 128);
    bytes += head_;
    add_field(
        bytes, owner_->names_->time_left, std::to_string(remaining.count()));
    add_field(bytes, owner_->names_->expected_id, target.published.id);
    if (has_length_)
        add_field(bytes, "Content-Length", std::to_string(body_.size()));
    bytes += "\r\n";
    bytes += body_;
    return bytes;
}

void forward_operation::send(const forward_send& to_send)
{
    const auto& target = owner_->catalog_.at(to_send.to);
    upstream_request request;
    request.owner = this;
    request.attempt = to_send.attempt;
    request.urgency = {
        request_.priority(),
        request_.times().full_value_until -
            answer_latency_factor * profile_->median()};
    request.request_id = request_id_;
    request.expires_at = request_.times().caller_deadline + late_answer_time;
    request.bodiless = bodiless_;
    request.recent_connection_only =
        request_.route()->safety == retry_safety::at_most_once;
    const auto& service = request_.service(to_send.part);
    if (!owner_->pool_.send(
            to_send.to,
            std::move(request),
            {connection_share::at(
                 target,
                 service.max_connections,
                 owner_->fleet_,
                 owner_->loop_->now()),
             connection_share::max_idle(
                 service.max_connections, owner_->fleet_),
             connection_share::of(service.max_connections, owner_->fleet_)}))
        unsent_attempts_.push_back(to_send.attempt);
    if (to_send.extra)
        owner_->stats_->count(
            "repeats_total{service=\"" + target.published.service + "\"}");
}

void forward_operation::on_attempt_end(
    std::uint32_t attempt, forward_outcome outcome, response_message* answer)
{
    const boost::intrusive_ptr<forward_operation> guard{this};
    const auto now = owner_->loop_->now();
    const auto outcome_name = name_of(outcome);
    if (outcome != forward_outcome::answered) {
        const auto& target =
            owner_->catalog_.at(request_.replica_of(attempt)).published;
        owner_->stats_->count(
            "attempt_failures_total{outcome=\"" + std::string{outcome_name} +
            "\",service=\"" + target.service + "\"}");
        owner_->log_->write(
            now,
            event_severity::notable,
            "attempt_failed",
            {{"request", request_id_},
             {"fingerprint", to_text(fingerprints_.exact)},
             {"similar", to_text(fingerprints_.similar)},
             {"route", request_.route()->name},
             {"replica", target.id},
             {"service", target.service},
             {"address", target.address.text()},
             {"outcome", outcome_name},
             {"status", answer != nullptr ? answer->status : 0},
             {"age", now - request_.times().arrived}});
    }
    if (outcome == forward_outcome::interrupted)
        owner_->on_interrupted(
            request_.replica_of(attempt), fingerprints_, crash_marks_);
    else if (outcome == forward_outcome::misdirected)
        owner_->on_replica_ended(request_.replica_of(attempt));
    const bool answer_used = request_.on_result(
        attempt, outcome, owner_->context(), *profile_, now, actions_);
    if (answer_used && answer != nullptr) {
        store_part(attempt, *answer);
        withdraw_unneeded();
    }
    else if (outcome == forward_outcome::failed && answer != nullptr)
        store_failure(attempt, *answer);
    execute_actions();
}

std::string forward_operation::head_for_caller(
    std::uint32_t attempt, const response_message& answer) const
{
    auto head = forwarded_answer_head(answer, *owner_->names_);
    // The other instance notes what the answer says of the upstream.
    const auto& sender =
        owner_->catalog_.at(request_.replica_of(attempt)).published;
    if (relayed_)
        add_field(
            head,
            owner_->names_->relayed_upstream,
            name_upstream({sender.id, sender.start_id}));
    return head;
}

void forward_operation::store_failure(
    std::uint32_t attempt, response_message& answer)
{
    const auto facts =
        describe_answer(answer, *owner_->names_, attempt_receiver::replica);
    const auto reply = choose_reply(
        {request_.execution(), request_.route()->scatters(), false, facts});
    if (reply != failure_reply::forwarded) {
        owner_->count_withheld(facts);
        return;
    }
    failure_.facts = facts;
    failure_.head = head_for_caller(attempt, answer);
    failure_.body = std::move(answer.body);
    hold_memory(answer);
}

void forward_operation::store_part(
    std::uint32_t attempt, response_message& answer)
{
    const auto part = request_.part_of(attempt);
    bodies_[part] = std::move(answer.body);
    hold_memory(answer);
    if (answer.memory.empty() && request_.route()->scatters() &&
        bodies_[part].size() >= min_counted_part)
        memory_.push_back(owner_->memory_->take(
            request_.service(part).name, bodies_[part].size()));
    signatures_[part] =
        answer.fields.find(owner_->names_->signature).value_or("");
    if (!request_.route()->scatters())
        answer_head_ = head_for_caller(attempt, answer);
}

void forward_operation::hold_memory(response_message& answer)
{
    std::move(
        answer.memory.begin(),
        answer.memory.end(),
        std::back_inserter(memory_));
    answer.memory.clear();
}

void forward_operation::withdraw_unneeded()
{
    for (std::uint32_t i = 0; i < request_.attempts(); ++i) {
        const bool needed = !request_.ended() && !request_.part_answered(i);
        if (!needed && request_.open(i) &&
            owner_->pool_.withdraw(request_.replica_of(i), *this, i))
            request_.on_result(
                i,
                forward_outcome::unsent,
                owner_->context(),
                *profile_,
                owner_->loop_->now(),
                actions_);
    }
}

void forward_operation::withdraw_all()
{
    for (std::uint32_t i = 0; i < request_.attempts(); ++i) {
        if (request_.open(i) &&
            owner_->pool_.withdraw_unsent(request_.replica_of(i), *this, i))
            request_.on_result(
                i,
                forward_outcome::unsent,
                owner_->context(),
                *profile_,
                owner_->loop_->now(),
                actions_);
    }
}

void forward_operation::finish(forward_end end)
{
    reactor::disarm(timer_);
    if (end == forward_end::not_run)
        withdraw_all();
    else
        withdraw_unneeded();
    if (end == forward_end::not_run || !request_.sent())
        refund();
    --owner_->open_requests_;
    log_end(end);
    const bool success =
        end == forward_end::complete || end == forward_end::partial;
    if (success && request_.survived())
        owner_->crash_history_.on_answered(fingerprints_, owner_->loop_->now());
    const auto session = std::exchange(session_, {});
    if (!session)
        return;
    if (success) {
        std::size_t bytes = 0;
        for (const auto& body : bodies_)
            bytes += body.size();
        owner_->record_answer_size(*request_.route(), bytes);
    }
    if (success)
        owner_->retry_schedule_of(request_).on_served(owner_->loop_->now());
    if (!success)
        answer_failure(*session, end);
    else if (request_.route()->scatters())
        answer_parts(*session);
    else
        session->respond(
            answer_head_, std::move(bodies_.front()), std::move(memory_));
}

void forward_operation::refund()
{
    if (request_.account() != nullptr)
        owner_->quotas_.refund(
            request_.account()->name, charged_at_, owner_->loop_->now());
}

void forward_operation::answer_parts(http_session& session)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    add_field(head, owner_->names_->request_id, request_id_);
    std::string parts;
    std::uint32_t included = 0;
    for (const auto& signature : signatures_) {
        if (signature.empty())
            continue;
        ++included;
        if (!parts.empty())
            parts += ", ";
        parts += signature;
    }
    add_field(head, owner_->names_->part_signatures, parts);
    add_field(
        head,
        owner_->names_->parts_missing,
        std::to_string(request_.part_count() - included));
    head += "Content-Type: application/octet-stream\r\n";
    auto merged = merge_records(bodies_, request_.route()->top_records);
    bodies_.clear();
    session.respond(head, std::move(merged), std::move(memory_));
}

void forward_operation::answer_failure(http_session& session, forward_end end)
{
    const auto reply = choose_reply(
        {request_.execution(),
         request_.route()->scatters(),
         end == forward_end::timed_out,
         failure_.facts});
    if (reply == failure_reply::forwarded) {
        session.respond(
            failure_.head, std::move(failure_.body), std::move(memory_));
        return;
    }
    // The instance that relayed the request may ask another one.
    if (reply == failure_reply::not_run && !request_.shed() &&
        session.request().fields.find(owner_->names_->relayed)) {
        owner_->refuse_unreachable(
            session, name_of(end), forwarder::relayed_not_run);
        return;
    }
    milliseconds retry_after{};
    if (reply == failure_reply::not_run) {
        const auto now = owner_->loop_->now();
        retry_after = owner_->retry_schedule_of(request_).reserve(
            request_.priority(),
            request_.earliest_retry(owner_->context(), now),
            now);
    }
    if (request_.shed())
        owner_->stats_->count(
            "shed_requests_total{route=\"" + request_.route()->name + "\"}");
    owner_->refuse(
        session,
        status_of(reply),
        request_.shed() ? forwarder::overloaded : name_of(end),
        retry_after);
}

void forward_operation::log_end(forward_end end) const
{
    const auto now = owner_->loop_->now();
    const auto elapsed = now - request_.times().arrived;
    owner_->stats_->record_request(
        request_.route()->name, name_of(end), elapsed);
    const bool routine = end == forward_end::complete &&
                         now <= request_.times().full_value_until;
    if (routine && !owner_->log_->accepts_routine(now))
        return;
    log_unusable_replicas(now);
    owner_->log_->write(
        now,
        routine ? event_severity::routine : event_severity::notable,
        "request_end",
        {{"request", request_id_},
         {"fingerprint", to_text(fingerprints_.exact)},
         {"route", request_.route()->name},
         {"account",
          request_.account() == nullptr ? std::string_view{}
                                        : request_.account()->name},
         {"outcome", name_of(end)},
         {"took", elapsed},
         {"parts", request_.part_count()},
         {"in", request_.answered_parts()},
         {"attempts", request_.attempts()},
         {"repeats", request_.extra_attempts()},
         {"config", request_.config()->version},
         {"caller_left", session_ ? 0 : 1}});
}

void forward_operation::log_unusable_replicas(time_point now) const
{
    const auto unusable = request_.count_unusable(owner_->context(), now);
    if (unusable.excluded + unusable.paused + unusable.unreachable +
            unusable.rate_limited ==
        0)
        return;
    owner_->log_->write(
        now,
        event_severity::notable,
        "replicas_unusable",
        {{"request", request_id_},
         {"excluded", unusable.excluded},
         {"paused", unusable.paused},
         {"unreachable", unusable.unreachable},
         {"rate_limited", unusable.rate_limited}});
}

void forward_operation::on_caller_disconnect()
{
    session_ = {};
    if (request_.ended())
        return;
    owner_->stats_->record_request(
        request_.route()->name,
        "caller_left",
        owner_->loop_->now() - request_.times().arrived);
    if (!request_.sent())
        refund();
    abandon();
}

void forward_operation::on_upstreams_lost()
{
    const bool repeatable =
        request_.route()->safety == retry_safety::idempotent;
    if (!session_ || request_.ended() || !repeatable)
        return;
    const boost::intrusive_ptr<forward_operation> guard{this};
    const auto session = std::exchange(session_, {});
    // The other instance charges the request again.
    refund();
    abandon();
    owner_->relay(
        *session,
        request_.route(),
        request_.times(),
        request_id_,
        request_.execution());
}

void forward_operation::on_config_changed()
{
    if (!session_ || request_.ended() || request_.sent())
        return;
    const auto renewed =
        owner_->authenticate_again(*session_, request_.route());
    if (renewed.outcome == authentication_outcome::accepted) {
        // Another account may hold the key now, or none on an open route.
        head_ = forwarded_request_head(
            session_->request(),
            *owner_->names_,
            account_for_upstreams(*owner_->config_, renewed.account.get()));
        return;
    }
    const boost::intrusive_ptr<forward_operation> guard{this};
    request_.abandon();
    reactor::disarm(timer_);
    withdraw_all();
    refund();
    --owner_->open_requests_;
    owner_->stats_->count("revoked_requests_total");
    log_end(forward_end::not_run);
    owner_->refuse_unauthenticated(
        *std::exchange(session_, {}), renewed.outcome);
}

void forward_operation::on_shutdown(const shutdown_schedule& schedule)
{
    if (request_.ended())
        return;
    request_.limit_times(schedule.limit(request_.times()));
    owner_->loop_->arm(timer_, request_.next_wakeup());
}

void forward_operation::abandon()
{
    const boost::intrusive_ptr<forward_operation> guard{this};
    request_.abandon();
    reactor::disarm(timer_);
    --owner_->open_requests_;
    for (std::uint32_t i = 0; i < request_.attempts(); ++i) {
        if (request_.open(i))
            owner_->catalog_.at(request_.replica_of(i)).health.on_cancelled();
    }
    owner_->pool_.abort_all(*this);
}

} // namespace peridotward
