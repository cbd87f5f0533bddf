#include "forwarded_fields.hpp"
#include "notice_fields.hpp"

#include <peridotward/base/hash.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace peridotward {

namespace {

/// Size of the read buffer, and the output capacity above which an idle
/// connection frees the unused part.
constexpr std::size_t read_bytes = 16384;
/// Another upstream has the address.
constexpr std::uint32_t misdirected_request = 421;

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{})
        return std::nullopt;
    return value;
}

/// Parses the seconds of `timeout=N` in a Keep-Alive field.
std::optional<seconds> parse_idle_time(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto value = parse_number(text.substr(at + key.size()));
    return value ? std::optional{seconds{*value}} : std::nullopt;
}

} // namespace

upstream_connection::upstream_connection(
    upstream_pool& pool, replica_number replica, unique_socket connecting)
    : pool_{&pool},
      replica_{replica},
      socket_{std::move(connecting)},
      start_time_{pool.loop().now()},
      memory_{pool.memory(), answer_, [this] { update_events(); }}
{}

void upstream_connection::start()
{
    watched_events_ = wanted_events();
    pool_->loop().add(socket_.descriptor(), watched_events_, *this);
    intrusive_ptr_add_ref(this); // The reactor's reference, until `close`.
    pool_->contact().on_tried(replica_, pool_->loop().now());
}

std::uint32_t upstream_connection::wanted_events() const noexcept
{
    if (phase_ == phase::connecting)
        return EPOLLIN | EPOLLOUT;
    std::uint32_t events = 0;
    if (!memory_.waiting())
        events |= EPOLLIN;
    if (phase_ == phase::busy && written_ < output_.size())
        events |= EPOLLOUT;
    return events;
}

void upstream_connection::update_events()
{
    const auto events = wanted_events();
    if (phase_ == phase::closed || events == watched_events_)
        return;
    watched_events_ = events;
    pool_->loop().modify(socket_.descriptor(), events, *this);
}

void upstream_connection::send(upstream_request request)
{
    request_ = std::move(request);
    output_ = request_.owner->serialize_attempt(request_.attempt);
    written_ = 0;
    mismatched_answers_ = 0;
    reader_.reset();
    if (phase_ == phase::connecting)
        return;
    phase_ = phase::busy;
    pool_->contact().on_tried(replica_, pool_->loop().now());
    remember(request_.request_id);
    request_.owner->on_attempt_written(request_.attempt);
    flush();
}

void upstream_connection::remember(std::string_view request_id)
{
    const auto hash = hash_of(request_id);
    if (carried_.size() < remembered_ids)
        carried_.push_back(hash);
    else
        carried_[carried_count_ % remembered_ids] = hash;
    ++carried_count_;
}

bool upstream_connection::has_carried(
    std::string_view request_id) const noexcept
{
    return std::find(carried_.begin(), carried_.end(), hash_of(request_id)) !=
           carried_.end();
}

bool upstream_connection::withdraw(
    const attempt_owner& owner, std::uint32_t attempt) noexcept
{
    if (phase_ != phase::connecting || request_.owner.get() != &owner ||
        request_.attempt != attempt)
        return false;
    request_.owner.reset();
    return true;
}

void upstream_connection::on_events(std::uint32_t events)
{
    const boost::intrusive_ptr<upstream_connection> guard{this};
    if (phase_ == phase::connecting) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0)
            on_connection_end(forward_outcome::unreachable);
        else if ((events & EPOLLOUT) != 0)
            on_connected();
        return;
    }
    if ((events & EPOLLOUT) != 0 && phase_ == phase::busy)
        flush();
    if (phase_ != phase::closed &&
        (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        receive();
}

void upstream_connection::on_connected()
{
    pool_->contact().on_heard();
    if (!request_.owner) {
        phase_ = phase::idle;
        update_events();
        idle_since_ = pool_->loop().now();
        pool_->send_waiting(replica_);
        return;
    }
    if (!pool_->wants_requests(replica_)) {
        // The replica was excluded, or asked for a pause, while this connection
        // was being made.
        phase_ = phase::idle;
        update_events();
        idle_since_ = pool_->loop().now();
        report(forward_outcome::unsent, nullptr);
        return;
    }
    phase_ = phase::busy;
    remember(request_.request_id);
    request_.owner->on_attempt_written(request_.attempt);
    flush();
}

void upstream_connection::flush()
{
    while (written_ < output_.size()) {
        const auto sent = ::send(
            socket_.descriptor(),
            output_.data() + written_,
            output_.size() - written_,
            MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN) {
            update_events();
            return;
        }
        if (sent < 0) {
            on_connection_end(forward_outcome::interrupted);
            return;
        }
        written_ += static_cast<std::size_t>(sent);
    }
    update_events();
}

void upstream_connection::receive()
{
    static std::array<char, read_bytes> buffer;
    const auto received =
        ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    // The end of a connection also arrives if only the way there is cut.
    if (received > 0)
        pool_->contact().on_heard();
    else
        pool_->contact().on_tried(replica_, pool_->loop().now());
    if (received <= 0) {
        on_connection_end(forward_outcome::interrupted, received == 0);
        return;
    }
    if (phase_ != phase::busy) {
        // No request is open that the bytes could answer.
        close();
        return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(received));
    parse();
    if (phase_ == phase::busy) {
        set_buffered(input_.size() + answer_.body.size());
        if (reader_)
            memory_.claim(
                pool_->catalog().at(replica_).published.service,
                *reader_,
                buffered_);
        if (memory_.waiting())
            limit_receive_buffer(socket_);
        update_events();
    }
}

void upstream_connection::set_buffered(std::size_t bytes) noexcept
{
    pool_->change_buffered(std::exchange(buffered_, bytes), bytes);
}

void upstream_connection::parse()
{
    while (phase_ == phase::busy && !input_.empty()) {
        if (!reader_)
            reader_.emplace(answer_, max_answer_bytes, request_.bodiless);
        switch (reader_->consume(input_)) {
        case read_state::incomplete:
            return;
        case read_state::complete:
            on_answer();
            break;
        case read_state::invalid:
        case read_state::header_too_large:
        case read_state::body_too_large:
            on_connection_end(forward_outcome::broken);
            return;
        }
    }
}

void upstream_connection::on_connection_end(forward_outcome cause, bool orderly)
{
    const boost::intrusive_ptr<upstream_connection> guard{this};
    if (phase_ == phase::connecting) {
        close();
        if (cause == forward_outcome::unreachable && pool_->on_refused)
            pool_->on_refused(replica_);
        report(forward_outcome::unreachable, nullptr);
        return;
    }
    if (phase_ == phase::busy && orderly && reader_ &&
        reader_->consume_end() == read_state::complete) {
        answer_.keep_alive = false;
        on_answer();
    }
    const bool request_open = phase_ == phase::busy;
    close();
    if (request_open)
        report(cause, nullptr);
}

void upstream_connection::on_answer()
{
    reader_.reset();
    memory_.on_complete();
    const auto answer_id = answer_.fields.find(pool_->names().request_id);
    if (answer_id && *answer_id != request_.request_id) {
        // A late duplicate answer to an earlier request; the answer to the
        // current one may follow.
        if (++mismatched_answers_ > max_mismatched_answers ||
            !answer_.keep_alive)
            on_connection_end(forward_outcome::broken);
        return;
    }
    if (!answer_id && carried_count_ > 1 &&
        !pool_->names().request_id.empty()) {
        // May be a late copy of an earlier answer, so it doesn't tell whether
        // the current request has run.
        ++pool_->untied_answers();
        on_connection_end(forward_outcome::broken);
        return;
    }
    const bool request_sent = written_ == output_.size();
    const bool reusable = answer_.keep_alive && request_sent &&
                          input_.empty() &&
                          answer_.status != misdirected_request;
    record_answer_fields();
    const auto outcome = outcome_of_answer();
    set_buffered(0);
    if (reusable) {
        phase_ = phase::idle;
        idle_since_ = pool_->loop().now();
        if (output_.capacity() > read_bytes)
            output_.shrink_to_fit();
    }
    else
        close();
    report(outcome, &answer_);
    if (answer_.body.capacity() > read_bytes)
        std::string{}.swap(answer_.body);
    answer_.memory.clear();
}

void upstream_connection::record_answer_fields()
{
    // The fields describe the upstream that answers, which isn't this one.
    if (answer_.status == misdirected_request)
        return;
    pool_->record_notice(replica_, read_notice(answer_, pool_->names()));
    usable_until_ = time_point::max();
    if (const auto text = answer_.fields.find("Keep-Alive")) {
        if (const auto idle = parse_idle_time(*text))
            usable_until_ =
                pool_->loop().now() + *idle - upstream_pool::idle_margin;
    }
}

forward_outcome upstream_connection::outcome_of_answer() const
{
    if (answer_.status == misdirected_request)
        return forward_outcome::misdirected;
    const auto facts =
        describe_answer(answer_, pool_->names(), attempt_receiver::replica);
    if (surely_not_run(execution_of(facts)))
        return forward_outcome::refused;
    const bool success = answer_.status >= 200 && answer_.status < 300;
    const bool content_encoded =
        answer_.fields.find("Content-Encoding").has_value();
    return success && facts.signed_by_replica && !content_encoded
               ? forward_outcome::answered
               : forward_outcome::failed;
}

void upstream_connection::report(
    forward_outcome outcome, response_message* answer)
{
    const auto owner = std::exchange(request_.owner, nullptr);
    if (owner)
        owner->on_attempt_end(request_.attempt, outcome, answer);
    pool_->send_waiting(replica_);
}

void upstream_connection::abort()
{
    const boost::intrusive_ptr<upstream_connection> guard{this};
    request_.owner.reset();
    close();
}

bool upstream_connection::overdue(time_point now) const noexcept
{
    switch (phase_) {
    case phase::connecting:
        return now - start_time_ > connect_timeout;
    case phase::busy:
        return now > request_.expires_at;
    case phase::idle:
        return now >= usable_until_;
    case phase::closed:
        break;
    }
    return false;
}

void upstream_connection::expire()
{
    if (phase_ == phase::idle)
        close();
    else if (phase_ != phase::closed)
        on_connection_end(forward_outcome::broken);
}

void upstream_connection::close()
{
    if (phase_ == phase::closed)
        return;
    phase_ = phase::closed;
    memory_.cancel();
    set_buffered(0);
    if (is_linked())
        unlink();
    if (socket_) {
        pool_->loop().remove(socket_.descriptor(), *this);
        socket_.close();
        intrusive_ptr_release(this);
    }
}

} // namespace peridotward
