#include "../frame_error.hpp"
#include "inbound.hpp"

namespace peridotward {

namespace {

constexpr std::size_t max_unauthenticated_connections = 256;

} // namespace

inbound::inbound(boost::asio::io_context& io, link_context& shared)
    : shared_{&shared}
{
    server_.clear_access_channels(websocketpp::log::alevel::all);
    server_.clear_error_channels(websocketpp::log::elevel::all);
    server_.init_asio(&io);
    server_.set_reuse_addr(true);
    server_.set_open_handshake_timeout(handshake_timeout_ms);
    server_.set_max_message_size(max_handshake_bytes);
    server_.set_validate_handler([this](const handle& connection) {
        return server_.get_con_from_hdl(connection)->get_resource() ==
               websocket_path;
    });
    server_.set_open_handler(
        [this](const handle& connection) { on_open(connection); });
    server_.set_close_handler(
        [this](const handle& connection) { drop(connection); });
    server_.set_message_handler(
        [this](const handle& connection, const server::message_ptr& message) {
            on_message(connection, message->get_payload());
        });
}

std::string inbound::start()
{
    const auto& address = shared_->options.address;
    boost::system::error_code address_error;
    const auto host =
        boost::asio::ip::make_address_v4(address.host, address_error);
    websocketpp::lib::error_code error;
    if (!address_error)
        server_.listen({host, address.port}, error);
    if (!address_error && !error)
        server_.start_accept(error);
    if (!address_error && !error)
        return {};
    return "peers: cannot listen on " + address.host + ":" +
           std::to_string(address.port) + ": " +
           (address_error ? address_error.message() : error.message());
}

void inbound::stop()
{
    websocketpp::lib::error_code ignored_error;
    server_.stop_listening(ignored_error);
    while (!sessions_.empty())
        drop(sessions_.begin()->first);
}

void inbound::close_refused()
{
    for (const auto& instance_id : shared_->refused_instances) {
        const auto found = connection_of_instance_.find(instance_id);
        if (found != connection_of_instance_.end())
            drop(handle{found->second});
    }
}

void inbound::on_open(const handle& connection)
{
    sessions_.emplace(connection, peer_session{});
    if (sessions_.size() - authenticated_count_ >
        max_unauthenticated_connections) {
        ++shared_->refusals;
        drop(connection);
        return;
    }
    server_.set_timer(
        handshake_timeout_ms,
        [this, connection](const websocketpp::lib::error_code& cancelled) {
            if (!cancelled)
                check_handshake_done(connection);
        });
}

void inbound::check_handshake_done(const handle& connection)
{
    const auto found = sessions_.find(connection);
    if (found == sessions_.end() || found->second.authenticated)
        return;
    ++shared_->refusals;
    drop(connection);
}

void inbound::on_message(const handle& connection, const std::string& frame)
{
    const auto found = sessions_.find(connection);
    if (found == sessions_.end())
        return;
    auto& session = found->second;
    try {
        if (session.authenticated)
            on_frame(connection, session, frame);
        else if (session.hello)
            on_connector_proof(connection, session, frame);
        else
            on_hello(connection, session, frame);
    }
    catch (const frame_error&) {
        ++shared_->invalid;
        drop(connection);
    }
}

void inbound::on_hello(
    const handle& connection, peer_session& session, const std::string& frame)
{
    session.hello = decode_hello(frame);
    if (shared_->is_refused(session.hello->instance_id)) {
        ++shared_->refusals;
        drop(connection);
        return;
    }
    const auto own_hello = shared_->own_hello();
    const link_proofs proofs{shared_->options.key, *session.hello, own_hello};
    session.expected_proof = proofs.connector_proof();
    session.authenticator.emplace(proofs.frame_key());
    websocketpp::lib::error_code error;
    server_.send(
        connection,
        encode_challenge({own_hello, proofs.listener_proof()}),
        websocketpp::frame::opcode::binary,
        error);
}

void inbound::on_connector_proof(
    const handle& connection, peer_session& session, const std::string& frame)
{
    if (!equal_constant_time(session.expected_proof, frame)) {
        ++shared_->refusals;
        drop(connection);
        return;
    }
    session.authenticated = true;
    ++authenticated_count_;
    server_.get_con_from_hdl(connection)
        ->set_max_message_size(shared_->max_message_bytes());
    const auto earlier =
        connection_of_instance_.find(session.hello->instance_id);
    if (earlier != connection_of_instance_.end())
        drop(handle{earlier->second});
    connection_of_instance_[session.hello->instance_id] = connection;
}

void inbound::on_frame(
    const handle& connection, peer_session& session, const std::string& frame)
{
    const auto payload = session.authenticator->verify_mac(frame);
    const bool accepted = payload && shared_->events.received(
                                         session.hello->instance_id,
                                         session.hello->incarnation,
                                         std::string{*payload});
    if (!accepted) {
        ++shared_->invalid;
        drop(connection);
        return;
    }
    ++shared_->frames_in;
    shared_->bytes_in += frame.size();
}

void inbound::drop(const handle& connection)
{
    const auto found = sessions_.find(connection);
    if (found == sessions_.end())
        return;
    // `connection` may refer to the key of the session, which the extracted
    // node keeps alive.
    const auto node = sessions_.extract(found);
    const auto& ended_session = node.mapped();
    const handle& closed_connection = node.key();
    if (ended_session.authenticated) {
        --authenticated_count_;
        const auto current =
            connection_of_instance_.find(ended_session.hello->instance_id);
        const std::owner_less<handle> before;
        if (current != connection_of_instance_.end() &&
            !before(current->second, closed_connection) &&
            !before(closed_connection, current->second))
            connection_of_instance_.erase(current);
    }
    websocketpp::lib::error_code ignored_error;
    server_.close(
        closed_connection,
        websocketpp::close::status::policy_violation,
        "",
        ignored_error);
}

} // namespace peridotward
