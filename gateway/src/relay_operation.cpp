#include "forwarded_fields.hpp"
#include "notice_fields.hpp"
#include "relay_operation.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace peridotward {

namespace {

constexpr std::size_t read_bytes = 16384;
constexpr keep_alive_times relay_keep_alive{seconds{1}, seconds{1}, 1};
constexpr std::uint32_t service_unavailable = 503;
constexpr std::uint32_t unauthorized = 401;
/// Group of relayed answers in the memory budget.
constexpr std::string_view memory_group = "relayed requests";

} // namespace

relay_operation::relay_operation(
    forwarder& owner,
    http_session& session,
    pinned_route route,
    const forward_times& times,
    std::string request_id,
    attempt_execution execution)
    : owner_{&owner},
      session_{session},
      route_{std::move(route)},
      route_version_{
          std::to_string(route_.config()->version) + " " +
          std::to_string(route_.digest())},
      times_{times},
      request_id_{std::move(request_id)},
      head_{forwarded_request_head(
          session.request(),
          *owner.names_,
          account_for_upstreams(*owner.config_, nullptr))},
      credentials_{owner.credentials_of(session.request()).value},
      caller_{session.caller_host()},
      body_{session.request().body},
      has_length_{session.request().has_length},
      bodiless_{session.request().method == "HEAD"},
      execution_{execution},
      memory_{*owner.memory_, answer_, [this] { update_events(); }},
      timer_{[this] { on_timeout(); }}
{
    ++owner_->open_requests_;
    owner_->operations_.push_back(*this);
}

relay_operation::~relay_operation()
{
    reactor::disarm(timer_);
}

void relay_operation::begin()
{
    try_next();
}

void relay_operation::try_next()
{
    const boost::intrusive_ptr<relay_operation> guard{this};
    while (tried_.size() < max_targets) {
        const auto now = owner_->loop_->now();
        const auto target = owner_->relay_targets_.choose(
            owner_->relay_candidates(), owner_->fleet_.self, tried_, now);
        if (!target)
            break;
        tried_.push_back(target->id);
        auto connecting = connect_tcp(
            target->callers,
            relay_keep_alive,
            owner_->settings_->listen.callers.host);
        if (!connecting) {
            end_target(relay_result::failed);
            continue;
        }
        socket_ = std::move(*connecting);
        connected_ = false;
        self_ = this;
        watched_events_ = EPOLLIN | EPOLLOUT;
        owner_->loop_->add(socket_.descriptor(), watched_events_, *this);
        owner_->loop_->arm(
            timer_, std::min(now + connect_timeout, times_.answer_deadline));
        return;
    }
    owner_->replaced_ = false;
    refuse(reply_to(false, std::nullopt), forwarder::no_upstream);
}

failure_reply relay_operation::reply_to(
    bool deadline_passed, const std::optional<attempt_answer>& answer) const
{
    return choose_reply(
        {execution_, route_->scatters(), deadline_passed, answer});
}

void relay_operation::end_target(relay_result result)
{
    owner_->relay_targets_.on_end(tried_.back(), result, owner_->loop_->now());
    if (socket_) {
        owner_->loop_->remove(socket_.descriptor(), *this);
        socket_.close();
    }
    memory_.cancel();
    input_.clear();
    reader_.reset();
    self_.reset();
}

void relay_operation::skip_target(relay_result result, attempt_execution known)
{
    const boost::intrusive_ptr<relay_operation> guard{this};
    execution_ = std::max(execution_, known);
    end_target(result);
    try_next();
}

std::string relay_operation::serialize() const
{
    // The other instance answers before its deadline, and so in time for this
    // one to pass the answer on.
    const auto remaining = std::max(
        std::chrono::duration_cast<milliseconds>(
            times_.answer_deadline - owner_->loop_->now()),
        milliseconds{1});
    auto bytes = head_;
    add_field(
        bytes, owner_->names_->time_left, std::to_string(remaining.count()));
    // The other instance authenticates the caller itself.
    if (!credentials_.empty())
        add_field(bytes, owner_->names_->credentials, credentials_);
    add_field(bytes, owner_->names_->relayed, caller_);
    add_field(bytes, owner_->names_->relayed_config, route_version_);
    add_field(bytes, "Connection", "close");
    if (has_length_)
        add_field(bytes, "Content-Length", std::to_string(body_.size()));
    bytes += "\r\n";
    bytes += body_;
    return bytes;
}

void relay_operation::on_events(std::uint32_t events)
{
    const boost::intrusive_ptr<relay_operation> guard{this};
    if (!connected_) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
            skip_target(relay_result::failed, attempt_execution::not_sent);
            return;
        }
        connected_ = true;
        output_ = serialize();
        written_ = 0;
        owner_->loop_->arm(timer_, times_.answer_deadline);
    }
    if (written_ < output_.size())
        send();
    if (socket_ && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        receive();
}

void relay_operation::send()
{
    while (written_ < output_.size()) {
        const auto sent = ::send(
            socket_.descriptor(),
            output_.data() + written_,
            output_.size() - written_,
            MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN)
            break;
        if (sent < 0) {
            fail(false);
            return;
        }
        written_ += static_cast<std::size_t>(sent);
    }
    update_events();
}

void relay_operation::update_events()
{
    std::uint32_t events = 0;
    if (!memory_.waiting())
        events |= EPOLLIN;
    if (!connected_ || written_ < output_.size())
        events |= EPOLLOUT;
    if (!socket_ || events == watched_events_)
        return;
    watched_events_ = events;
    owner_->loop_->modify(socket_.descriptor(), events, *this);
}

void relay_operation::receive()
{
    static std::array<char, read_bytes> buffer;
    const auto received =
        ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    auto state = read_state::invalid;
    if (!reader_)
        reader_.emplace(
            answer_, upstream_connection::max_answer_bytes, bodiless_);
    if (received > 0) {
        input_.append(buffer.data(), static_cast<std::size_t>(received));
        state = reader_->consume(input_);
    }
    else if (received == 0) {
        state = reader_->consume_end();
    }
    if (state == read_state::incomplete) {
        memory_.claim(
            memory_group, *reader_, input_.size() + answer_.body.size());
        if (memory_.waiting())
            limit_receive_buffer(socket_);
        update_events();
        return;
    }
    if (state == read_state::complete) {
        on_answer();
        return;
    }
    fail(false);
}

void relay_operation::on_answer()
{
    const auto relayed = answer_.fields.find(owner_->names_->relayed);
    if (answer_.status == service_unavailable && relayed) {
        skip_target(
            *relayed == forwarder::relayed_declined  ? relay_result::declined
            : *relayed == forwarder::relayed_not_run ? relay_result::not_run
                                                     : relay_result::cut_off,
            attempt_execution::refused);
        return;
    }
    end_target(relay_result::served);
    owner_->replaced_ = owner_->pool_.contact().lost();
    memory_.on_complete();
    if (const auto sender = read_upstream(answer_, *owner_->names_))
        owner_->pool_.record_notice_of(
            sender->id,
            sender->start_id,
            read_notice(answer_, *owner_->names_));
    const auto facts =
        describe_answer(answer_, *owner_->names_, attempt_receiver::instance);
    const auto reply = reply_to(false, facts);
    if (reply != failure_reply::forwarded) {
        owner_->count_withheld(facts);
        refuse(reply, "the relayed request may have run");
        return;
    }
    if (const auto session = std::exchange(session_, {}))
        session->respond(
            forwarded_answer_head(answer_, *owner_->names_),
            std::move(answer_.body),
            std::move(answer_.memory));
    end(answer_.status);
}

void relay_operation::on_timeout()
{
    const boost::intrusive_ptr<relay_operation> guard{this};
    if (!connected_ && owner_->loop_->now() < times_.answer_deadline) {
        skip_target(relay_result::failed, attempt_execution::not_sent);
        return;
    }
    fail(true);
}

void relay_operation::fail(bool deadline_passed)
{
    end_target(relay_result::failed);
    if (connected_ && written_ > 0)
        execution_ = std::max(execution_, attempt_execution::may_have_run);
    refuse(
        reply_to(deadline_passed, std::nullopt),
        deadline_passed ? "the relayed request timed out"
                        : "the relayed request was interrupted");
}

void relay_operation::refuse(failure_reply reply, std::string_view reason)
{
    const auto status = status_of(reply);
    if (const auto session = std::exchange(session_, {})) {
        if (reply == failure_reply::not_run)
            owner_->refuse_unreachable(
                *session, reason, forwarder::relayed_cut_off);
        else
            owner_->refuse(*session, status, reason);
    }
    end(status);
}

void relay_operation::end(std::uint32_t status)
{
    reactor::disarm(timer_);
    --owner_->open_requests_;
    const auto now = owner_->loop_->now();
    const bool served = status >= 200 && status < 300;
    owner_->stats_->count(
        "relayed_requests_total{status=\"" + std::to_string(status) + "\"}");
    if (served && !owner_->log_->accepts_routine(now))
        return;
    owner_->log_->write(
        now,
        served ? event_severity::routine : event_severity::notable,
        "request_relayed",
        {{"request", request_id_},
         {"route", route_->name},
         {"to", tried_.empty() ? "" : tried_.back()},
         {"tried", tried_.size()},
         {"status", status},
         {"took", now - times_.arrived}});
}

void relay_operation::on_caller_disconnect()
{
    const boost::intrusive_ptr<relay_operation> guard{this};
    session_ = {};
    if (socket_)
        end_target(relay_result::served);
    end(0);
}

void relay_operation::on_shutdown(const shutdown_schedule& schedule)
{
    times_ = schedule.limit(times_);
    if (timer_.armed())
        owner_->loop_->arm(
            timer_, std::min(timer_.due(), times_.answer_deadline));
}

void relay_operation::on_config_changed()
{
    if (!session_ || connected_)
        return;
    const auto renewed = owner_->authenticate_again(*session_, route_);
    if (renewed.outcome == authentication_outcome::accepted)
        return;
    const boost::intrusive_ptr<relay_operation> guard{this};
    if (socket_)
        end_target(relay_result::served);
    owner_->stats_->count("revoked_requests_total");
    owner_->refuse_unauthenticated(
        *std::exchange(session_, {}), renewed.outcome);
    end(unauthorized);
}

} // namespace peridotward
