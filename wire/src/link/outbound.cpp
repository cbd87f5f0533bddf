#include "../frame_error.hpp"
#include "outbound.hpp"

#include <algorithm>

namespace peridotward {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_queued_frames_per_peer = 4096;
constexpr std::size_t max_queued_bytes_per_peer = 16U << 20U;
// Unsent bytes in the buffer of websocketpp.
constexpr std::size_t max_buffered_bytes_per_peer = 1U << 20U;
constexpr milliseconds flush_interval{2};
// Maximum time that the buffer of websocketpp may stay full.
constexpr milliseconds stall_timeout{2000};
constexpr milliseconds min_retry_delay{50};
constexpr milliseconds max_retry_delay{2000};
constexpr std::uint32_t max_delay_doublings = 6;

} // namespace

outbound::outbound(
    boost::asio::io_context& io, link_context& shared, std::uint64_t seed)
    : io_{&io}, shared_{&shared}, random_{seed}
{
    client_.clear_access_channels(websocketpp::log::alevel::all);
    client_.clear_error_channels(websocketpp::log::elevel::all);
    client_.init_asio(&io);
    client_.set_open_handshake_timeout(handshake_timeout_ms);
    client_.set_max_message_size(max_handshake_bytes);
}

void outbound::set_addresses(
    const std::map<std::string, link_address>& addresses)
{
    for (const auto& [instance_id, address] : addresses) {
        auto& peer = peers_[instance_id];
        if (!peer) {
            peer = std::make_shared<remote_peer>(*io_);
            peer->instance_id = instance_id;
        }
        const bool address_changed = peer->address.host != address.host ||
                                     peer->address.port != address.port;
        peer->address = address;
        if (address_changed && peer->state != peer_state::idle) {
            disconnect(peer);
            peer->retry_timer.cancel();
            peer->state = peer_state::idle;
            peer->failures = 0;
        }
    }
    for (auto position = peers_.begin(); position != peers_.end();) {
        const auto peer = position->second;
        ++position;
        if (addresses.count(peer->instance_id) != 0)
            continue;
        disconnect(peer);
        peer->retry_timer.cancel();
        peers_.erase(peer->instance_id);
    }
}

void outbound::send(
    const std::string& instance_id, std::string frame, std::uint64_t ticket)
{
    const auto found = peers_.find(instance_id);
    const bool reachable = found != peers_.end() &&
                           !shared_->is_refused(instance_id) &&
                           found->second->state != peer_state::backing_off &&
                           frame.size() <= shared_->options.max_frame_bytes;
    if (!reachable) {
        report_unsent(instance_id, ticket);
        return;
    }
    const auto peer = found->second;
    enqueue(*peer, {std::move(frame), ticket});
    if (peer->state == peer_state::idle)
        connect(peer);
    else if (peer->state == peer_state::ready)
        flush_queue(peer);
}

void outbound::close_refused()
{
    for (const auto& [instance_id, peer] : peers_) {
        if (shared_->is_refused(instance_id))
            disconnect(peer);
    }
}

void outbound::stop()
{
    set_addresses({});
}

void outbound::connect(const remote_peer_ptr& peer)
{
    websocketpp::lib::error_code error;
    const auto connection = client_.get_connection(
        "ws://" + peer->address.host + ":" +
            std::to_string(peer->address.port) + websocket_path,
        error);
    peer->state = peer_state::connecting;
    if (error) {
        disconnect(peer);
        return;
    }
    ++shared_->connection_attempts;
    peer->connection = connection;
    peer->hello = shared_->own_hello();
    connection->set_open_handler([this, peer](const handle& opened) {
        const auto current = client_.get_con_from_hdl(opened);
        if (current != peer->connection)
            return;
        boost::system::error_code ignored_error;
        current->get_socket().set_option(
            boost::asio::ip::tcp::no_delay{true}, ignored_error);
        write(*peer, encode_hello(peer->hello));
    });
    connection->set_message_handler(
        [this, peer](const handle& from, const client::message_ptr& message) {
            if (client_.get_con_from_hdl(from) == peer->connection)
                on_message(peer, message->get_payload());
        });
    connection->set_fail_handler(
        [this, peer](const handle& ended) { on_connection_end(peer, ended); });
    connection->set_close_handler(
        [this, peer](const handle& ended) { on_connection_end(peer, ended); });
    client_.connect(connection);
}

void outbound::on_message(const remote_peer_ptr& peer, const std::string& frame)
{
    if (peer->state != peer_state::connecting)
        return;
    try {
        const auto challenge = decode_challenge(frame);
        const link_proofs proofs{
            shared_->options.key, peer->hello, challenge.hello};
        const bool authentic =
            challenge.hello.instance_id == peer->instance_id &&
            equal_constant_time(proofs.listener_proof(), challenge.proof);
        if (!authentic)
            throw frame_error{"the listener is not " + peer->instance_id};
        write(*peer, proofs.connector_proof());
        peer->authenticator.emplace(proofs.frame_key());
        peer->state = peer_state::ready;
        peer->failures = 0;
        flush_queue(peer);
    }
    catch (const frame_error&) {
        ++shared_->refusals;
        disconnect(peer);
    }
}

void outbound::on_connection_end(
    const remote_peer_ptr& peer, const handle& connection)
{
    websocketpp::lib::error_code lookup_error;
    const auto ended = client_.get_con_from_hdl(connection, lookup_error);
    if (!lookup_error && ended == peer->connection)
        disconnect(peer);
}

/// Closes the connection, schedules a retry and reports the queued frames as
/// unsent.
void outbound::disconnect(const remote_peer_ptr& peer)
{
    const bool was_ready = peer->state == peer_state::ready;
    const auto connection = std::move(peer->connection);
    const auto unsent_frames = std::move(peer->queue);
    peer->connection.reset();
    peer->queue.clear();
    peer->queued_bytes = 0;
    peer->authenticator.reset();
    if (peer->state != peer_state::backing_off)
        schedule_retry(peer);
    if (connection) {
        websocketpp::lib::error_code ignored_error;
        connection->close(
            websocketpp::close::status::going_away, "", ignored_error);
    }
    for (const auto& frame : unsent_frames)
        report_unsent(peer->instance_id, frame.ticket);
    if (was_ready)
        shared_->events.lost(peer->instance_id);
}

void outbound::schedule_retry(const remote_peer_ptr& peer)
{
    const auto doublings = std::min(peer->failures++, max_delay_doublings);
    const auto base_delay =
        std::min(min_retry_delay * (1U << doublings), max_retry_delay);
    const auto half = base_delay.count() / 2;
    const auto jitter = static_cast<milliseconds::rep>(
        random_() % static_cast<std::uint64_t>(half + 1));
    peer->state = peer_state::backing_off;
    peer->retry_timer.expires_after(milliseconds{half + jitter});
    peer->retry_timer.async_wait(
        [peer](const boost::system::error_code& cancelled) {
            if (!cancelled)
                peer->state = peer_state::idle;
        });
}

void outbound::enqueue(remote_peer& peer, queued_frame frame)
{
    peer.queued_bytes += frame.bytes.size();
    peer.queue.push_back(std::move(frame));
    const bool full = peer.queue.size() > max_queued_frames_per_peer ||
                      peer.queued_bytes > max_queued_bytes_per_peer;
    if (full)
        discard_one_frame(peer);
}

/// Discards the oldest frame without a ticket, or the newest frame if all have
/// tickets.
void outbound::discard_one_frame(remote_peer& peer)
{
    auto discarded = std::find_if(
        peer.queue.begin(), peer.queue.end(), [](const queued_frame& frame) {
            return frame.ticket == 0;
        });
    if (discarded == peer.queue.end())
        --discarded;
    peer.queued_bytes -= discarded->bytes.size();
    report_unsent(peer.instance_id, discarded->ticket);
    peer.queue.erase(discarded);
}

void outbound::flush_queue(const remote_peer_ptr& peer)
{
    const auto now = std::chrono::steady_clock::now();
    if (peer->connection->get_buffered_amount() < max_buffered_bytes_per_peer)
        peer->last_writable = now;
    if (now - peer->last_writable > stall_timeout) {
        disconnect(peer);
        return;
    }
    while (!peer->queue.empty() && peer->connection->get_buffered_amount() <
                                       max_buffered_bytes_per_peer) {
        const auto frame = std::move(peer->queue.front());
        peer->queue.pop_front();
        peer->queued_bytes -= frame.bytes.size();
        const auto frame_with_mac = peer->authenticator->add_mac(frame.bytes);
        ++shared_->frames_out;
        shared_->bytes_out += frame_with_mac.size();
        write(*peer, frame_with_mac);
    }
    if (!peer->queue.empty())
        schedule_flush(peer);
}

void outbound::schedule_flush(const remote_peer_ptr& peer)
{
    if (peer->flush_scheduled)
        return;
    peer->flush_scheduled = true;
    peer->flush_timer.expires_after(flush_interval);
    peer->flush_timer.async_wait(
        [this, peer](const boost::system::error_code&) {
            peer->flush_scheduled = false;
            if (peer->state == peer_state::ready)
                flush_queue(peer);
        });
}

void outbound::report_unsent(
    const std::string& instance_id, std::uint64_t ticket)
{
    if (ticket == 0)
        ++shared_->dropped;
    else
        shared_->events.unsent(instance_id, ticket);
}

void outbound::write(remote_peer& peer, const std::string& bytes)
{
    // The result is ignored: websocketpp calls the close handler after an
    // error.
    (void)peer.connection->send(
        bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
}

} // namespace peridotward
