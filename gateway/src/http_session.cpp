#include <peridotward/gateway/http_session.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <vector>

namespace peridotward {

namespace {

/// Group of requests in the memory budget.
constexpr std::string_view memory_group = "requests";
constexpr std::uint32_t service_unavailable = 503;

} // namespace

std::string_view reason_phrase(std::uint32_t status) noexcept
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

http_session::http_session(
    reactor& loop, accepted_connection accepted, http_handler& handler)
    : loop_{&loop},
      socket_{std::move(accepted.socket)},
      caller_host_{std::move(accepted.host)},
      handler_{&handler},
      memory_waiter_{[this](memory_claim claim) {
          request_memory_ = std::move(claim);
          update_events();
      }},
      idle_since_{loop.now()}
{}

http_session::~http_session() = default;

void http_session::start()
{
    watched_events_ = wanted_events();
    loop_->add(socket_.descriptor(), watched_events_, *this);
    intrusive_ptr_add_ref(this); // The reactor's reference, until `close`.
}

std::uint32_t http_session::wanted_events() const noexcept
{
    std::uint32_t events = EPOLLRDHUP;
    const bool can_parse = phase_ == phase::reading && output_.empty();
    if (!memory_waiter_.waiting() && (phase_ == phase::lingering || can_parse ||
                                      input_.size() <= read_bytes))
        events |= EPOLLIN;
    if (!output_.empty())
        events |= EPOLLOUT;
    return events;
}

void http_session::update_events()
{
    const auto events = wanted_events();
    if (phase_ == phase::closed || events == watched_events_)
        return;
    watched_events_ = events;
    loop_->modify(socket_.descriptor(), events, *this);
}

void http_session::on_events(std::uint32_t events)
{
    const boost::intrusive_ptr<http_session> guard{this};
    if ((events & EPOLLOUT) != 0)
        flush();
    if (phase_ == phase::closed)
        return;
    if ((events & EPOLLRDHUP) != 0 && (watched_events_ & EPOLLIN) == 0)
        close(); // The caller has left; what it sent before isn't read.
    else if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0)
        receive();
}

void http_session::receive()
{
    static std::array<char, read_bytes> buffer;
    const auto received =
        ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (received <= 0) {
        // Callers may half-close a connection only after the answer, so the
        // end of the stream means that the caller has disconnected.
        close();
        return;
    }
    if (phase_ == phase::lingering)
        return;
    if (input_.empty() && phase_ == phase::reading && !reader_)
        start_time_ = loop_->now();
    input_.append(buffer.data(), static_cast<std::size_t>(received));
    if (phase_ == phase::reading && output_.empty())
        parse();
    update_events();
}

void http_session::parse()
{
    if (!reader_) {
        const auto limits = handler_->limits();
        reader_ = std::make_unique<request_reader>(
            request_,
            limits.max_header_bytes + handler_->extra_head_bytes(*this),
            limits.max_body_bytes);
    }
    switch (reader_->consume(input_)) {
    case read_state::incomplete:
        claim_memory();
        return;
    case read_state::complete:
        begin_request();
        handler_->on_request(*this);
        return;
    case read_state::header_too_large:
        refuse(431);
        return;
    case read_state::body_too_large:
        refuse(413);
        return;
    case read_state::invalid:
        refuse(400);
        return;
    }
}

void http_session::claim_memory()
{
    auto* const budget = handler_->request_memory();
    if (budget == nullptr || request_memory_.bytes() > 0 ||
        memory_waiter_.waiting() ||
        request_.body.size() + input_.size() <= memory_budget::unclaimed_bytes)
        return;
    request_memory_ = budget->claim(
        memory_group,
        body_copies * reader_->expected_body_bytes(),
        memory_waiter_);
}

void http_session::begin_request()
{
    memory_waiter_.cancel();
    reader_.reset();
    phase_ = phase::answering;
    ++request_number_;
}

void http_session::refuse(std::uint32_t status)
{
    begin_request();
    close_after_answer_ = true;
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reason_phrase(status);
    head += "\r\nContent-Type: text/plain\r\n";
    if (status == service_unavailable)
        head += "Retry-After: 1\r\n";
    respond(head, reason_phrase(status));
}

void http_session::respond(
    std::uint32_t status, std::string_view content_type, std::string_view body)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reason_phrase(status);
    head += "\r\nContent-Type: ";
    head += content_type;
    head += "\r\n";
    respond(head, body);
}

void http_session::respond(std::string_view head, std::string_view body)
{
    respond(head, std::string{body}, {});
}

void http_session::respond(
    std::string_view head, std::string&& body, std::vector<memory_claim> memory)
{
    if (phase_ != phase::answering)
        return;
    const bool close =
        close_after_answer_ || !request_.keep_alive || handler_->closing();
    close_after_answer_ = close;
    output_ += head;
    output_ += "Content-Length: ";
    output_ += std::to_string(body.size());
    output_ += close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
    if (request_.method != "HEAD") {
        if (body.size() <= read_bytes)
            output_ += body;
        else {
            large_body_ = std::move(body);
            memory_ = std::move(memory);
        }
    }
    phase_ = phase::reading;
    state.reset();
    write_progress_at_ = loop_->now();
    flush();
}

std::string_view http_session::unsent() const noexcept
{
    return written_ < output_.size()
               ? std::string_view{output_}.substr(written_)
               : std::string_view{large_body_}.substr(
                     written_ - output_.size());
}

void http_session::flush()
{
    const boost::intrusive_ptr<http_session> guard{this};
    for (auto rest = unsent(); !rest.empty(); rest = unsent()) {
        const bool more = written_ < output_.size() && !large_body_.empty();
        const auto sent = ::send(
            socket_.descriptor(),
            rest.data(),
            rest.size(),
            MSG_NOSIGNAL | (more ? MSG_MORE : 0));
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN) {
            update_events();
            return;
        }
        if (sent < 0) {
            close();
            return;
        }
        written_ += static_cast<std::size_t>(sent);
        write_progress_at_ = loop_->now();
    }
    if (output_.empty())
        return;
    discard_output();
    on_answer_sent();
}

void http_session::discard_output()
{
    output_.clear();
    std::string{}.swap(large_body_);
    memory_.clear();
    written_ = 0;
}

void http_session::on_answer_sent()
{
    if (request_.body.capacity() > read_bytes)
        std::string{}.swap(request_.body);
    request_memory_.release();
    idle_since_ = loop_->now();
    if (close_after_answer_) {
        linger();
        return;
    }
    update_events();
    if (input_.empty())
        return;
    start_time_ = loop_->now();
    loop_->defer([self = boost::intrusive_ptr<http_session>{this}] {
        if (self->phase_ != phase::reading || self->input_.empty())
            return;
        self->parse();
        self->update_events();
    });
}

void http_session::linger()
{
    phase_ = phase::lingering;
    idle_since_ = loop_->now();
    input_.clear();
    ::shutdown(socket_.descriptor(), SHUT_WR);
    update_events();
}

duration http_session::round_trip()
{
    if (round_trip_)
        return *round_trip_;
    round_trip_ = duration{};
    tcp_info info{};
    socklen_t length = sizeof info;
    const int status = ::getsockopt(
        socket_.descriptor(), IPPROTO_TCP, TCP_INFO, &info, &length);
    if (status == 0)
        round_trip_ = microseconds{info.tcpi_rtt};
    return *round_trip_;
}

void http_session::check(time_point now)
{
    const boost::intrusive_ptr<http_session> guard{this};
    const auto limits = handler_->limits();
    const bool stalled =
        !output_.empty() && now - write_progress_at_ > write_timeout;
    const bool lingered =
        phase_ == phase::lingering && now - idle_since_ > linger_time;
    if (stalled || lingered)
        close();
    else if (phase_ == phase::reading && output_.empty()) {
        const bool started = reader_ != nullptr;
        if (started && now - start_time_ > limits.header_timeout)
            refuse(memory_waiter_.waiting() ? service_unavailable : 408);
        else if (
            !started && now - idle_since_ > limits.idle_timeout &&
            !has_unread_bytes())
            close();
    }
}

void http_session::close_if_idle()
{
    const boost::intrusive_ptr<http_session> guard{this};
    if (phase_ == phase::reading && !has_request() &&
        loop_->now() - idle_since_ >= min_idle_time)
        close();
}

bool http_session::has_unread_bytes() const noexcept
{
    int count = 0;
    return ::ioctl(socket_.descriptor(), FIONREAD, &count) == 0 && count > 0;
}

bool http_session::has_request() const noexcept
{
    return busy() || (phase_ == phase::reading &&
                      (reader_ || !input_.empty() || has_unread_bytes()));
}

void http_session::close()
{
    if (phase_ == phase::closed)
        return;
    // Takes over the reactor's reference.
    const boost::intrusive_ptr<http_session> guard{this, false};
    const bool request_open = phase_ == phase::answering;
    phase_ = phase::closed;
    memory_waiter_.cancel();
    if (request_open)
        handler_->on_caller_disconnect(*this);
    discard_output();
    request_memory_.release();
    loop_->remove(socket_.descriptor(), *this);
    socket_.close();
    state.reset();
    if (is_linked())
        unlink();
}

http_listener::~http_listener()
{
    stop_listening();
}

result<void> http_listener::open(const endpoint& address)
{
    auto opened = listen_tcp(address);
    if (!opened)
        return tl::unexpected{opened.error()};
    socket_ = std::move(*opened);
    loop_->add(socket_.descriptor(), EPOLLIN, *this);
    return {};
}

void http_listener::close()
{
    if (!socket_)
        return;
    while (accept()) {
    }
    stop_listening();
}

void http_listener::stop_listening()
{
    if (!socket_)
        return;
    loop_->remove(socket_.descriptor(), *this);
    socket_.close();
}

void http_listener::on_events(std::uint32_t)
{
    // Accepts one connection per event: a second call would mostly fail with
    // EAGAIN, and level-triggered epoll reports further connections again.
    accept();
}

bool http_listener::accept()
{
    auto accepted = accept_tcp(socket_.descriptor());
    if (!accepted.socket)
        return false;
    const boost::intrusive_ptr<http_session> session{
        new http_session{*loop_, std::move(accepted), *handler_}};
    sessions_.push_back(*session);
    session->start();
    return true;
}

void http_listener::check(time_point now)
{
    // The end of one connection may end others: its handler frees what their
    // requests wait for.
    std::vector<boost::intrusive_ptr<http_session>> all;
    for (auto& session : sessions_)
        all.emplace_back(&session);
    for (const auto& session : all)
        session->check(now);
}

void http_listener::close_idle()
{
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        auto& session = *it++;
        session.close_if_idle();
    }
}

std::size_t http_listener::busy() const
{
    std::size_t count = 0;
    for (const auto& session : sessions_)
        count += session.has_request() ? 1 : 0;
    return count;
}

} // namespace peridotward
