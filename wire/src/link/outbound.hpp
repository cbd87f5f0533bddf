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

/// Connections to peers, opened on demand, one for each seat.
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

    /// Ends the connections to seats that are refused now.
    void apply_refusals();
    void stop();

private:
    using client = websocketpp::client<websocketpp::config::asio_client>;
    using handle = websocketpp::connection_hdl;
    using time_point = std::chrono::steady_clock::time_point;

    enum class peer_state : std::uint8_t
    {
        idle,
        connecting, ///< Until admitted.
        ready,
        backing_off,
    };

    struct queued_frame
    {
        std::string bytes;
        std::uint64_t ticket = 0;
    };

    struct peer
    {
        explicit peer(boost::asio::io_context& io) : retry{io}, drain{io} {}

        std::string instance_id;
        link_address address;
        peer_state state = peer_state::idle;
        client::connection_ptr connection;
        link_hello hello;
        std::optional<frame_sealer> sealer;
        std::deque<queued_frame> queue;
        std::size_t queued_bytes = 0;
        std::uint32_t failures = 0;
        time_point last_drained;
        bool draining = false; ///< Whether `drain` is armed.
        boost::asio::steady_timer retry;
        boost::asio::steady_timer drain;
    };
    using peer_ptr = std::shared_ptr<peer>;

    void connect(const peer_ptr& to);
    void on_message(const peer_ptr& to, const std::string& frame);
    void on_end(const peer_ptr& to, const handle& connection);
    void fail(const peer_ptr& to);
    void back_off(const peer_ptr& to);
    void enqueue(peer& to, queued_frame frame);
    void drop_oldest_control(peer& to);
    void pump(const peer_ptr& to);
    void pump_later(const peer_ptr& to);
    void report_unsent(const std::string& instance_id, std::uint64_t ticket);
    void send_now(peer& to, const std::string& bytes);

    boost::asio::io_context* io_;
    link_context* shared_;
    client client_;
    std::map<std::string, peer_ptr> peers_;
    std::mt19937_64 random_;
};

} // namespace peridotward
