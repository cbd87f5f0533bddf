#include "reactor_handler.hpp"
#include "text_header.hpp"

#include <pistache/peer.h>
#include <pistache/transport.h>
#include <sys/timerfd.h>
#include <unistd.h>

namespace peridotward {

namespace {

constexpr unsigned reactor_shift = 48;
constexpr std::chrono::milliseconds mailbox_period{1};

http_headers copy_query(const Pistache::Http::Uri::Query& query)
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
    copy.query = copy_query(request.query());
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

void reply_mailbox::post(std::uint64_t sequence, http_response response)
{
    const std::scoped_lock lock{mutex_};
    entries_.emplace_back(sequence, std::move(response));
}

void reply_mailbox::take(std::vector<entry>& out)
{
    out.clear();
    const std::scoped_lock lock{mutex_};
    entries_.swap(out);
}

reactor_handler::reactor_handler(std::shared_ptr<server_shared> shared)
    : shared_{std::move(shared)}, mailbox_{std::make_shared<reply_mailbox>()}
{
    const std::scoped_lock lock{shared_->mutex};
    reactor_ = shared_->mailboxes.size();
    shared_->mailboxes.push_back(mailbox_);
}

reactor_handler::reactor_handler(const reactor_handler& other)
    : Pistache::Http::Handler{other},
      shared_{other.shared_},
      mailbox_{std::make_shared<reply_mailbox>()}
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
    owed_.emplace(sequence, owed_answer{std::move(writer), peer_id});
    by_peer_.emplace(peer_id, sequence);
    ++shared_->open;
    if (!timer_armed_)
        arm_timer();
    shared_->on_request(
        exchange_id{(reactor_ << reactor_shift) | sequence}, std::move(copy));
}

void reactor_handler::onDisconnection(
    const std::shared_ptr<Pistache::Tcp::Peer>& peer)
{
    const auto [first, last] = by_peer_.equal_range(peer->getID());
    for (auto it = first; it != last; ++it) {
        if (owed_.erase(it->second) == 0)
            continue;
        --shared_->open;
        shared_->on_gone(exchange_id{(reactor_ << reactor_shift) | it->second});
    }
    by_peer_.erase(first, last);
}

void reactor_handler::arm_timer()
{
    const int timer = ::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK);
    if (timer < 0)
        throw std::runtime_error{"timerfd_create failed"};
    timer_armed_ = true;
    Pistache::Async::Promise<std::uint64_t> fired{
        [&](Pistache::Async::Deferred<std::uint64_t> deferred) {
            transport()->armTimer(timer, mailbox_period, std::move(deferred));
        }};
    fired.then(
        [this, timer](std::uint64_t) { on_timer(timer); },
        [](const std::exception_ptr&) {});
}

void reactor_handler::on_timer(int fired)
{
    timer_armed_ = false;
    send_answers();
    // The next timer exists before the fired one is closed: Pistache aborts
    // when a descriptor number is armed twice.
    if (!owed_.empty())
        arm_timer();
    ::close(fired);
}

void reactor_handler::send_answers()
{
    mailbox_->take(taken_);
    for (auto& [sequence, response] : taken_) {
        const auto found = owed_.find(sequence);
        if (found == owed_.end())
            continue;
        auto answer = std::move(found->second);
        owed_.erase(found);
        const auto [first, last] = by_peer_.equal_range(answer.peer);
        for (auto it = first; it != last; ++it) {
            if (it->second == sequence) {
                by_peer_.erase(it);
                break;
            }
        }
        send_response(answer.writer, response);
        --shared_->open;
    }
    if (!taken_.empty())
        transport()->flush();
    taken_.clear();
}

} // namespace peridotward
