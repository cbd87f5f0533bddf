#pragma once

#include "link_context.hpp"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <memory>
#include <optional>

namespace peridotward {

/// Accepts inbound connections, authenticates the peers and receives their
/// frames.
class inbound
{
public:
    inbound(boost::asio::io_context& io, link_context& shared);

    /// \returns An error message, or an empty string on success.
    [[nodiscard]] std::string start();
    void stop();

    /// Closes the connections of refused instances.
    void close_refused();

private:
    using server = websocketpp::server<websocketpp::config::asio>;
    using handle = websocketpp::connection_hdl;

    struct peer_session
    {
        std::optional<link_hello> hello;
        std::string expected_proof;
        /// Set when a hello was received.
        std::optional<frame_authenticator> authenticator;
        bool authenticated = false;
    };
    using session_map = std::map<handle, peer_session, std::owner_less<handle>>;

    void on_open(const handle& connection);
    void on_message(const handle& connection, const std::string& frame);
    void on_hello(
        const handle& connection,
        peer_session& session,
        const std::string& frame);
    void on_connector_proof(
        const handle& connection,
        peer_session& session,
        const std::string& frame);
    void on_frame(
        const handle& connection,
        peer_session& session,
        const std::string& frame);
    void check_handshake_done(const handle& connection);
    void drop(const handle& connection);

    link_context* shared_;
    server server_;
    session_map sessions_;
    std::map<std::string, handle> connection_of_instance_;
    std::size_t authenticated_count_ = 0;
};

} // namespace peridotward
