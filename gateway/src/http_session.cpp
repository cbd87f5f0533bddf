#include <peridotward/gateway/http_session.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace peridotward {

std::string_view reason_of(std::uint32_t status) noexcept
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
    reactor& loop, unique_socket socket, http_handler& handler)
    : loop_{&loop},
      socket_{std::move(socket)},
      handler_{&handler},
      idle_since_{loop.now()}
{}

http_session::~http_session() = default;

void http_session::start()
{
    watched_ = EPOLLIN | EPOLLRDHUP;
    loop_->add(socket_.descriptor(), watched_, *this);
    intrusive_ptr_add_ref(this); // Held by the loop until `close`.
}

void http_session::watch(std::uint32_t events)
{
    if (phase_ == phase::closed || events == watched_)
        return;
    watched_ = events;
    loop_->change(socket_.descriptor(), events, *this);
}

void http_session::on_events(std::uint32_t events)
{
    const boost::intrusive_ptr<http_session> keep{this};
    if ((events & EPOLLOUT) != 0)
        flush();
    if (phase_ != phase::closed &&
        (events & (EPOLLIN | EPOLLHUP | EPOLLERR | EPOLLRDHUP)) != 0)
        receive();
}

void http_session::receive()
{
    static std::array<char, read_bytes> buffer;
    const auto got =
        ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (got <= 0) {
        // A caller may only close its own direction once it has its answer,
        // so the end of its direction means that it has left.
        if (phase_ == phase::answering)
            handler_->on_caller_left(*this);
        close();
        return;
    }
    if (phase_ == phase::lingering)
        return;
    if (input_.empty() && phase_ == phase::reading && !reader_)
        began_ = loop_->now();
    input_.append(buffer.data(), static_cast<std::size_t>(got));
    if (phase_ == phase::reading)
        parse();
    else if (input_.size() > read_bytes)
        watch(EPOLLRDHUP); // Reads on after the answer.
}

void http_session::parse()
{
    if (!reader_) {
        const auto limits = handler_->limits();
        reader_ = std::make_unique<request_reader>(
            request_, limits.max_header_bytes, limits.max_body_bytes);
    }
    switch (reader_->take(input_)) {
    case read_state::more:
        return;
    case read_state::complete:
        reader_.reset();
        phase_ = phase::answering;
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

void http_session::refuse(std::uint32_t status)
{
    reader_.reset();
    phase_ = phase::answering;
    close_after_ = true;
    respond(status, "text/plain", reason_of(status));
}

void http_session::respond(
    std::uint32_t status, std::string_view content_type, std::string_view body)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reason_of(status);
    head += "\r\nContent-Type: ";
    head += content_type;
    head += "\r\n";
    respond(head, body);
}

void http_session::respond(std::string_view head, std::string_view body)
{
    if (phase_ != phase::answering)
        return;
    const bool close =
        close_after_ || !request_.keep_alive || handler_->closing();
    close_after_ = close;
    output_ += head;
    output_ += "Content-Length: ";
    output_ += std::to_string(body.size());
    output_ += close ? "\r\nConnection: close\r\n\r\n" : "\r\n\r\n";
    if (request_.method != "HEAD")
        output_ += body;
    phase_ = phase::reading;
    state.reset();
    flush();
}

void http_session::flush()
{
    const boost::intrusive_ptr<http_session> keep{this};
    while (written_ < output_.size()) {
        const auto sent = ::send(
            socket_.descriptor(),
            output_.data() + written_,
            output_.size() - written_,
            MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN) {
            watch(watched_ | EPOLLOUT);
            return;
        }
        if (sent < 0) {
            close();
            return;
        }
        written_ += static_cast<std::size_t>(sent);
    }
    if (output_.empty())
        return;
    output_.clear();
    written_ = 0;
    after_answer();
}

void http_session::after_answer()
{
    idle_since_ = loop_->now();
    if (close_after_) {
        linger();
        return;
    }
    watch(EPOLLIN | EPOLLRDHUP);
    if (input_.empty())
        return;
    began_ = loop_->now();
    loop_->defer([self = boost::intrusive_ptr<http_session>{this}] {
        if (self->phase_ == phase::reading && !self->input_.empty())
            self->parse();
    });
}

void http_session::linger()
{
    phase_ = phase::lingering;
    idle_since_ = loop_->now();
    input_.clear();
    ::shutdown(socket_.descriptor(), SHUT_WR);
    watch(EPOLLIN | EPOLLRDHUP);
}

duration http_session::round_trip()
{
    if (round_trip_)
        return *round_trip_;
    round_trip_ = duration{};
    tcp_info told{};
    socklen_t length = sizeof told;
    const int asked = ::getsockopt(
        socket_.descriptor(), IPPROTO_TCP, TCP_INFO, &told, &length);
    if (asked == 0)
        round_trip_ = microseconds{told.tcpi_rtt};
    return *round_trip_;
}

void http_session::check(time_point now)
{
    const boost::intrusive_ptr<http_session> keep{this};
    const auto limits = handler_->limits();
    if (phase_ == phase::lingering && now - idle_since_ > linger_time)
        close();
    else if (phase_ == phase::reading && output_.empty()) {
        const bool begun = reader_ != nullptr;
        if (begun && now - began_ > limits.header_timeout)
            refuse(408);
        else if (!begun && now - idle_since_ > limits.idle_timeout)
            close();
    }
}

void http_session::close_if_idle()
{
    const boost::intrusive_ptr<http_session> keep{this};
    if (phase_ == phase::reading && output_.empty() && !reader_)
        close();
}

void http_session::close()
{
    if (phase_ == phase::closed)
        return;
    phase_ = phase::closed;
    loop_->remove(socket_.descriptor(), *this);
    socket_.close();
    state.reset();
    if (is_linked())
        unlink();
    intrusive_ptr_release(this);
}

http_listener::~http_listener()
{
    close();
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
    loop_->remove(socket_.descriptor(), *this);
    socket_.close();
}

void http_listener::on_events(std::uint32_t)
{
    // One at a time: a second call would mostly find nothing.
    auto accepted = accept_tcp(socket_.descriptor());
    if (!accepted)
        return;
    const boost::intrusive_ptr<http_session> session{
        new http_session{*loop_, std::move(accepted), *handler_}};
    sessions_.push_back(*session);
    session->start();
}

void http_listener::check(time_point now)
{
    for (auto at = sessions_.begin(); at != sessions_.end();) {
        auto& session = *at++;
        session.check(now);
    }
}

void http_listener::close_idle()
{
    for (auto at = sessions_.begin(); at != sessions_.end();) {
        auto& session = *at++;
        session.close_if_idle();
    }
}

std::size_t http_listener::busy() const
{
    std::size_t count = 0;
    for (const auto& session : sessions_)
        count += session.busy() ? 1 : 0;
    return count;
}

} // namespace peridotward
