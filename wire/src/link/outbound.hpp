#pragma once

#include "link_context.hpp"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace peridotward {

/// Sends frames to peers over outbound connections: one for each peer, opened
/// on demand.
class outbound
{
public:
    outbound(
        boost::asio::io_context& io, link_context& shared, std::uint64_t seed);

    void set_addresses(const std::map<std::string, link_address>& addresses);
    void send(
        const std::string& instance_id,
        std::string frame,
        std::uint64_t ticket);

    /// Closes the connections to refused instances.
    void close_refused();
    void stop();

private:
    using client = websocketpp::client<websocketpp::config::asio_client>;
    using handle = websocketpp::connection_hdl;
    using time_point = std::chrono::steady_clock::time_point;

    enum class peer_state : std::uint8_t
    {
        idle,
        connecting, ///< Until the handshake is complete.
        ready,
        backing_off,
    };

    struct queued_frame
    {
        std::string bytes;
        std::uint64_t ticket = 0;
    };

    struct remote_peer
    {
        explicit remote_peer(boost::asio::io_context& io)
            : retry_timer{io}, flush_timer{io}
        {}

        std::string instance_id;
        link_address address;
        peer_state state = peer_state::idle;
        client::connection_ptr connection;
        link_hello hello;
        std::optional<frame_authenticator> authenticator;
        std::deque<queued_frame> queue;
        std::size_t queued_bytes = 0;
        std::uint32_t failures = 0;
        /// When the send buffer of the connection was last below its limit.
        time_point last_writable;
        bool flush_scheduled = false; ///< Whether `flush_timer` is running.
        boost::asio::steady_timer retry_timer;
        boost::asio::steady_timer flush_timer;
    };
    using remote_peer_ptr = std::shared_ptr<remote_peer>;

    void connect(const remote_peer_ptr& peer);
    void on_message(const remote_peer_ptr& peer, const std::string& frame);
    void
    on_connection_end(const remote_peer_ptr& peer, const handle& connection);
    void disconnect(const remote_peer_ptr& peer);
    void schedule_retry(const remote_peer_ptr& peer);
    void enqueue(remote_peer& peer, queued_frame frame);
    void discard_one_frame(remote_peer& peer);
    void flush_queue(const remote_peer_ptr& peer);
    void schedule_flush(const remote_peer_ptr& peer);
    void report_unsent(const std::string& instance_id, std::uint64_t ticket);
    void write(remote_peer& peer, const std::string& bytes);

    boost::asio::io_context* io_;
    link_context* shared_;
    client client_;
    std::map<std::string, remote_peer_ptr> peers_;
    std::mt19937_64 random_;
};

} // namespace peridotward
