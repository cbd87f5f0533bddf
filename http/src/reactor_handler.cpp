#include "reactor_handler.hpp"
#include "text_header.hpp"

#include <pistache/peer.h>
#include <pistache/transport.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace peridotward {

namespace {

constexpr unsigned reactor_shift = 48;
constexpr std::chrono::milliseconds mailbox_poll_interval{1};

http_headers copy_query_parameters(const Pistache::Http::Uri::Query& query)
{
    http_headers copy;
    for (auto it = query.parameters_begin(); it != query.parameters_end(); ++it)
        copy.emplace_back(it->first, it->second);
    return copy;
}

http_request copy_request(const Pistache::Http::Request& request)
{
    http_request copy;
    copy.method = Pistache::Http::methodString(request.method());
    copy.path = request.resource();
    copy.query = copy_query_parameters(request.query());
    for (const auto& [name, raw] : request.headers().rawList())
        copy.headers.emplace_back(raw.name(), raw.value());
    copy.body = request.body();
    copy.peer_host = request.address().host();
    return copy;
}

void send_response(
    Pistache::Http::ResponseWriter& writer, const http_response& response)
{
    for (const auto& [name, value] : response.headers)
        writer.headers().add(std::make_shared<text_header>(name, value));
    if (response.close)
        writer.headers().add<Pistache::Http::Header::Connection>(
            Pistache::Http::ConnectionControl::Close);
    writer.send(
        static_cast<Pistache::Http::Code>(response.status),
        response.body,
        Pistache::Http::Mime::MediaType::fromString(response.content_type));
}

} // namespace

void response_mailbox::post(std::uint64_t sequence, http_response response)
{
    const std::scoped_lock lock{mutex_};
    posted_.emplace_back(sequence, std::move(response));
}

void response_mailbox::take_all(std::vector<posted_response>& out)
{
    out.clear();
    const std::scoped_lock lock{mutex_};
    posted_.swap(out);
}

reactor_handler::reactor_handler(std::shared_ptr<server_state> shared)
    : shared_{std::move(shared)}, mailbox_{std::make_shared<response_mailbox>()}
{
    const std::scoped_lock lock{shared_->mutex};
    reactor_ = shared_->mailboxes.size();
    shared_->mailboxes.push_back(mailbox_);
}

reactor_handler::reactor_handler(const reactor_handler& other)
    : Pistache::Http::Handler{other},
      shared_{other.shared_},
      mailbox_{std::make_shared<response_mailbox>()}
{
    const std::scoped_lock lock{shared_->mutex};
    reactor_ = shared_->mailboxes.size();
    shared_->mailboxes.push_back(mailbox_);
}

std::shared_ptr<Pistache::Tcp::Handler> reactor_handler::clone() const
{
    return std::make_shared<reactor_handler>(*this);
}

void reactor_handler::onRequest(
    const Pistache::Http::Request& request,
    Pistache::Http::ResponseWriter writer)
{
    const auto peer = writer.peer();
    if (!peer)
        return;
    const auto sequence = ++last_sequence_;
    const auto peer_id = peer->getID();
    auto copy = copy_request(request);
    pending_responses_.emplace(
        sequence, pending_response{std::move(writer), peer_id});
    pending_of_peer_.emplace(peer_id, sequence);
    ++shared_->open_exchange_count;
    if (!timer_armed_)
        arm_timer();
    shared_->on_request(
        exchange_id{(reactor_ << reactor_shift) | sequence}, std::move(copy));
}

void reactor_handler::onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& peer)
{
    const auto [first, last] = pending_of_peer_.equal_range(peer->getID());
    for (auto it = first; it != last; ++it) {
        if (pending_responses_.erase(it->second) == 0)
            continue;
        --shared_->open_exchange_count;
        shared_->on_disconnect(
            exchange_id{(reactor_ << reactor_shift) | it->second});
    }
    pending_of_peer_.erase(first, last);
}

void reactor_handler::arm_timer()
{
    const int timer_fd = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
    if (timer_fd < 0)
        throw std::runtime_error{"timerfd_create failed"};
    timer_armed_ = true;
    Pistache::Async::Promise<std::uint64_t> expiration{
        [&](Pistache::Async::Deferred<std::uint64_t> deferred) {
            transport()->armTimer(
                timer_fd, mailbox_poll_interval, std::move(deferred));
        }};
    expiration.then(
        [this, timer_fd](std::uint64_t) { on_timer(timer_fd); },
        [](const std::exception_ptr&) {});
}

void reactor_handler::on_timer(int timer_fd)
{
    timer_armed_ = false;
    send_responses();
    // Creates the next timer before the expired one is closed, so that they
    // have different descriptor numbers: Pistache aborts if the same number is
    // armed twice.
    if (!pending_responses_.empty())
        arm_timer();
    ::close(timer_fd);
}

void reactor_handler::send_responses()
{
    mailbox_->take_all(posted_responses_);
    for (auto& [sequence, response] : posted_responses_) {
        const auto found = pending_responses_.find(sequence);
        if (found == pending_responses_.end())
            continue;
        auto pending = std::move(found->second);
        pending_responses_.erase(found);
        const auto [first, last] = pending_of_peer_.equal_range(pending.peer);
        for (auto it = first; it != last; ++it) {
            if (it->second == sequence) {
                pending_of_peer_.erase(it);
                break;
            }
        }
        send_response(pending.writer, response);
        --shared_->open_exchange_count;
    }
    if (!posted_responses_.empty())
        transport()->flush();
    posted_responses_.clear();
}

} // namespace peridotward
