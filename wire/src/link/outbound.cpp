#include "../frame_error.hpp"
#include "outbound.hpp"

#include <algorithm>

namespace peridotward {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t max_queued_frames = 4096; // for one peer
constexpr std::size_t max_queued_bytes = 16U << 20U;
constexpr std::size_t max_buffered_bytes = 1U << 20U; // in websocketpp
constexpr milliseconds pump_interval{2};
constexpr milliseconds stall_limit{2000}; // without a byte taken
constexpr milliseconds first_retry{50};
constexpr milliseconds last_retry{2000};
constexpr std::uint32_t max_doublings = 6;

} // namespace

outbound::outbound(
    boost::asio::io_context& io, link_context& shared, std::uint64_t seed)
    : io_{&io}, shared_{&shared}, random_{seed}
{
    client_.clear_access_channels(websocketpp::log::alevel::all);
    client_.clear_error_channels(websocketpp::log::elevel::all);
    client_.init_asio(&io);
    client_.set_open_handshake_timeout(admission_limit_ms);
    client_.set_max_message_size(max_admission_bytes);
}

void outbound::set_addresses(
    const std::map<std::string, link_address>& addresses)
{
    for (const auto& [instance_id, address] : addresses) {
        auto& known = peers_[instance_id];
        if (!known) {
            known = std::make_shared<peer>(*io_);
            known->instance_id = instance_id;
        }
        const bool moved = known->address.host != address.host ||
                           known->address.port != address.port;
        known->address = address;
        if (moved && known->state != peer_state::idle) {
            fail(known);
            known->retry.cancel();
            known->state = peer_state::idle;
            known->failures = 0;
        }
    }
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        const auto known = entry->second;
        ++entry;
        if (addresses.count(known->instance_id) != 0)
            continue;
        fail(known);
        known->retry.cancel();
        peers_.erase(known->instance_id);
    }
}

void outbound::send(
    const std::string& instance_id, std::string frame, std::uint64_t ticket)
{
    const auto found = peers_.find(instance_id);
    const bool reachable = found != peers_.end() &&
                           !shared_->refuses(instance_id) &&
                           found->second->state != peer_state::backing_off &&
                           frame.size() <= shared_->options.max_frame_bytes;
    if (!reachable) {
        report_unsent(instance_id, ticket);
        return;
    }
    const auto to = found->second;
    enqueue(*to, {std::move(frame), ticket});
    if (to->state == peer_state::idle)
        connect(to);
    else if (to->state == peer_state::ready)
        pump(to);
}

void outbound::apply_refusals()
{
    for (const auto& [instance_id, known] : peers_) {
        if (shared_->refuses(instance_id))
            fail(known);
    }
}

void outbound::stop()
{
    set_addresses({});
}

void outbound::connect(const peer_ptr& to)
{
    websocketpp::lib::error_code failed;
    const auto connection = client_.get_connection(
        "ws://" + to->address.host + ":" + std::to_string(to->address.port) +
            link_path,
        failed);
    to->state = peer_state::connecting;
    if (failed) {
        fail(to);
        return;
    }
    ++shared_->connection_attempts;
    to->connection = connection;
    to->hello = shared_->own_hello();
    connection->set_open_handler([this, to](const handle& opened) {
        const auto current = client_.get_con_from_hdl(opened);
        if (current != to->connection)
            return;
        boost::system::error_code ignored;
        current->get_socket().set_option(
            boost::asio::ip::tcp::no_delay{true}, ignored);
        send_now(*to, encode_hello(to->hello));
    });
    connection->set_message_handler(
        [this, to](const handle& from, const client::message_ptr& message) {
            if (client_.get_con_from_hdl(from) == to->connection)
                on_message(to, message->get_payload());
        });
    connection->set_fail_handler(
        [this, to](const handle& ended) { on_end(to, ended); });
    connection->set_close_handler(
        [this, to](const handle& ended) { on_end(to, ended); });
    client_.connect(connection);
}

void outbound::on_message(const peer_ptr& to, const std::string& frame)
{
    if (to->state != peer_state::connecting)
        return;
    try {
        const auto challenge = decode_challenge(frame);
        const link_proofs proofs{
            shared_->options.key, to->hello, challenge.hello};
        const bool genuine = challenge.hello.instance_id == to->instance_id &&
                             same_proof(proofs.of_listener(), challenge.proof);
        if (!genuine)
            throw frame_error{"the listener is not " + to->instance_id};
        send_now(*to, proofs.of_connector());
        to->sealer.emplace(proofs.frame_key());
        to->state = peer_state::ready;
        to->failures = 0;
        pump(to);
    }
    catch (const frame_error&) {
        ++shared_->refusals;
        fail(to);
    }
}

void outbound::on_end(const peer_ptr& to, const handle& connection)
{
    websocketpp::lib::error_code unknown;
    const auto ended = client_.get_con_from_hdl(connection, unknown);
    if (!unknown && ended == to->connection)
        fail(to);
}

/// Gives up the connection and all that waits for it.
void outbound::fail(const peer_ptr& to)
{
    const bool was_ready = to->state == peer_state::ready;
    const auto connection = std::move(to->connection);
    const auto unsent = std::move(to->queue);
    to->connection.reset();
    to->queue.clear();
    to->queued_bytes = 0;
    to->sealer.reset();
    if (to->state != peer_state::backing_off)
        back_off(to);
    if (connection) {
        websocketpp::lib::error_code ignored;
        connection->close(websocketpp::close::status::going_away, "", ignored);
    }
    for (const auto& frame : unsent)
        report_unsent(to->instance_id, frame.ticket);
    if (was_ready)
        shared_->events.lost(to->instance_id);
}

void outbound::back_off(const peer_ptr& to)
{
    const auto doublings = std::min(to->failures++, max_doublings);
    const auto longest = std::min(first_retry * (1U << doublings), last_retry);
    const auto half = longest.count() / 2;
    const auto jitter = static_cast<milliseconds::rep>(
        random_() % static_cast<std::uint64_t>(half + 1));
    to->state = peer_state::backing_off;
    to->retry.expires_after(milliseconds{half + jitter});
    to->retry.async_wait([to](const boost::system::error_code& cancelled) {
        if (!cancelled)
            to->state = peer_state::idle;
    });
}

void outbound::enqueue(peer& to, queued_frame frame)
{
    to.queued_bytes += frame.bytes.size();
    to.queue.push_back(std::move(frame));
    const bool full = to.queue.size() > max_queued_frames ||
                      to.queued_bytes > max_queued_bytes;
    if (full)
        drop_oldest_control(to);
}

/// Drops the oldest frame without a ticket, or else the newest frame.
void outbound::drop_oldest_control(peer& to)
{
    auto victim = std::find_if(
        to.queue.begin(), to.queue.end(), [](const queued_frame& frame) {
            return frame.ticket == 0;
        });
    if (victim == to.queue.end())
        --victim;
    to.queued_bytes -= victim->bytes.size();
    report_unsent(to.instance_id, victim->ticket);
    to.queue.erase(victim);
}

void outbound::pump(const peer_ptr& to)
{
    const auto now = std::chrono::steady_clock::now();
    if (to->connection->get_buffered_amount() < max_buffered_bytes)
        to->last_drained = now;
    if (now - to->last_drained > stall_limit) {
        fail(to);
        return;
    }
    while (!to->queue.empty() &&
           to->connection->get_buffered_amount() < max_buffered_bytes) {
        const auto frame = std::move(to->queue.front());
        to->queue.pop_front();
        to->queued_bytes -= frame.bytes.size();
        const auto sealed = to->sealer->seal(frame.bytes);
        ++shared_->frames_out;
        shared_->bytes_out += sealed.size();
        send_now(*to, sealed);
    }
    if (!to->queue.empty())
        pump_later(to);
}

void outbound::pump_later(const peer_ptr& to)
{
    if (to->draining)
        return;
    to->draining = true;
    to->drain.expires_after(pump_interval);
    to->drain.async_wait([this, to](const boost::system::error_code&) {
        to->draining = false;
        if (to->state == peer_state::ready)
            pump(to);
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

void outbound::send_now(peer& to, const std::string& bytes)
{
    // A failed send is followed by the close handler.
    (void)to.connection->send(
        bytes.data(), bytes.size(), websocketpp::frame::opcode::binary);
}

} // namespace peridotward
