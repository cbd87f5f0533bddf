#pragma once

#include "link_context.hpp"

#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <memory>
#include <optional>

namespace peridotward {

/// The listener: admits peers and takes their frames.
class inbound
{
public:
    inbound(boost::asio::io_context& io, link_context& shared);

    /// \returns The problem, or an empty text.
    [[nodiscard]] std::string start();
    void stop();

    /// Ends the connections of seats that are refused now.
    void apply_refusals();

private:
    using server = websocketpp::server<websocketpp::config::asio>;
    using handle = websocketpp::connection_hdl;

    struct session
    {
        std::optional<link_hello> hello;
        std::string wanted_proof;
        std::optional<frame_sealer> sealer; ///< Set once a hello came.
        bool admitted = false;
    };
    using session_map = std::map<handle, session, std::owner_less<handle>>;

    void on_open(const handle& connection);
    void on_message(const handle& connection, const std::string& frame);
    void on_hello(
        const handle& connection, session& opened, const std::string& frame);
    void on_proof(
        const handle& connection, session& opened, const std::string& frame);
    void on_frame(
        const handle& connection, session& opened, const std::string& frame);
    void check_admitted(const handle& connection);
    void drop(const handle& connection);

    link_context* shared_;
    server server_;
    session_map sessions_;
    std::map<std::string, handle> by_instance_;
    std::size_t admitted_ = 0;
};

} // namespace peridotward
