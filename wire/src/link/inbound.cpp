#include "../frame_error.hpp"
#include "inbound.hpp"

namespace peridotward {

namespace {

constexpr std::size_t max_strangers = 256; // connections not admitted yet

} // namespace

inbound::inbound(boost::asio::io_context& io, link_context& shared)
    : shared_{&shared}
{
    server_.clear_access_channels(websocketpp::log::alevel::all);
    server_.clear_error_channels(websocketpp::log::elevel::all);
    server_.init_asio(&io);
    server_.set_reuse_addr(true);
    server_.set_open_handshake_timeout(admission_limit_ms);
    server_.set_max_message_size(max_admission_bytes);
    server_.set_validate_handler([this](const handle& connection) {
        return server_.get_con_from_hdl(connection)->get_resource() ==
               link_path;
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
    boost::system::error_code problem;
    const auto host = boost::asio::ip::make_address_v4(address.host, problem);
    websocketpp::lib::error_code failed;
    if (!problem)
        server_.listen({host, address.port}, failed);
    if (!problem && !failed)
        server_.start_accept(failed);
    if (!problem && !failed)
        return {};
    return "peers: cannot listen on " + address.host + ":" +
           std::to_string(address.port) + ": " +
           (problem ? problem.message() : failed.message());
}

void inbound::stop()
{
    websocketpp::lib::error_code ignored;
    server_.stop_listening(ignored);
    while (!sessions_.empty())
        drop(sessions_.begin()->first);
}

void inbound::apply_refusals()
{
    for (const auto& instance_id : shared_->refused) {
        const auto found = by_instance_.find(instance_id);
        if (found != by_instance_.end())
            drop(handle{found->second});
    }
}

void inbound::on_open(const handle& connection)
{
    sessions_.emplace(connection, session{});
    if (sessions_.size() - admitted_ > max_strangers) {
        ++shared_->refusals;
        drop(connection);
        return;
    }
    server_.set_timer(
        admission_limit_ms,
        [this, connection](const websocketpp::lib::error_code& cancelled) {
            if (!cancelled)
                check_admitted(connection);
        });
}

void inbound::check_admitted(const handle& connection)
{
    const auto found = sessions_.find(connection);
    if (found == sessions_.end() || found->second.admitted)
        return;
    ++shared_->refusals;
    drop(connection);
}

void inbound::on_message(const handle& connection, const std::string& frame)
{
    const auto found = sessions_.find(connection);
    if (found == sessions_.end())
        return;
    auto& opened = found->second;
    try {
        if (opened.admitted)
            on_frame(connection, opened, frame);
        else if (opened.hello)
            on_proof(connection, opened, frame);
        else
            on_hello(connection, opened, frame);
    }
    catch (const frame_error&) {
        ++shared_->invalid;
        drop(connection);
    }
}

void inbound::on_hello(
    const handle& connection, session& opened, const std::string& frame)
{
    opened.hello = decode_hello(frame);
    if (shared_->refuses(opened.hello->instance_id)) {
        ++shared_->refusals;
        drop(connection);
        return;
    }
    const auto own = shared_->own_hello();
    const link_proofs proofs{shared_->options.key, *opened.hello, own};
    opened.wanted_proof = proofs.of_connector();
    opened.sealer.emplace(proofs.frame_key());
    websocketpp::lib::error_code failed;
    server_.send(
        connection,
        encode_challenge({own, proofs.of_listener()}),
        websocketpp::frame::opcode::binary,
        failed);
}

void inbound::on_proof(
    const handle& connection, session& opened, const std::string& frame)
{
    if (!same_proof(opened.wanted_proof, frame)) {
        ++shared_->refusals;
        drop(connection);
        return;
    }
    opened.admitted = true;
    ++admitted_;
    server_.get_con_from_hdl(connection)
        ->set_max_message_size(shared_->max_message_bytes());
    const auto earlier = by_instance_.find(opened.hello->instance_id);
    if (earlier != by_instance_.end())
        drop(handle{earlier->second});
    by_instance_[opened.hello->instance_id] = connection;
}

void inbound::on_frame(
    const handle& connection, session& opened, const std::string& frame)
{
    const auto payload = opened.sealer->open(frame);
    const bool accepted = payload && shared_->events.received(
                                         opened.hello->instance_id,
                                         opened.hello->incarnation,
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
    // The node keeps the handle alive when `connection` refers to it.
    const auto node = sessions_.extract(found);
    const auto& ended = node.mapped();
    const handle& closing = node.key();
    if (ended.admitted) {
        --admitted_;
        const auto instance_id = by_instance_.find(ended.hello->instance_id);
        const std::owner_less<handle> before;
        if (instance_id != by_instance_.end() &&
            !before(instance_id->second, closing) &&
            !before(closing, instance_id->second))
            by_instance_.erase(instance_id);
    }
    websocketpp::lib::error_code ignored;
    server_.close(
        closing, websocketpp::close::status::policy_violation, "", ignored);
}

} // namespace peridotward
