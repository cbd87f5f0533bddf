#include "http_standin.hpp"

#include <array>
#include <chrono>
#include <sstream>
#include <utility>

namespace peridotward::testing {

using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds drip_interval{20};
constexpr std::size_t max_body = 16U << 20U;
constexpr std::size_t max_endless_piece = 65536;

std::string to_bytes(const standin_response& response, const wire_fault& fault)
{
    std::ostringstream stream;
    stream << response;
    auto bytes = stream.str();
    if (!fault.status_line.empty())
        bytes.replace(0, bytes.find("\r\n"), fault.status_line);
    bytes.insert(0, fault.interim);
    return bytes;
}

/// \returns What begins the endless bytes, and what follows without end.
std::pair<std::string, std::string> bytes_of(endless_bytes kind)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    switch (kind) {
    case endless_bytes::fields:
        return {ok, "X-Field: a\r\n"};
    case endless_bytes::chunks:
        return {ok + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"};
    case endless_bytes::body:
        return {ok + "\r\n", "abc"};
    case endless_bytes::none:
    case endless_bytes::garbage:
        break;
    }
    return {"", "garbage "};
}

} // namespace

/// A server connection that serves its requests one after another.
class connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, std::shared_ptr<listener_hooks> hooks)
        : socket_{std::move(socket)},
          timer_{socket_.get_executor()},
          hooks_{std::move(hooks)}
    {}

    ~connection() { hooks_->on_disconnect(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Reads the first request after the delay `connect_delay`.
    void start(std::chrono::nanoseconds connect_delay)
    {
        if (connect_delay == std::chrono::nanoseconds{}) {
            read();
            return;
        }
        timer_.expires_after(connect_delay);
        auto self = shared_from_this();
        timer_.async_wait([self](error_code code) {
            if (!code)
                self->read();
        });
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_body);
        auto self = shared_from_this();
        beast_http::async_read(
            socket_, buffer_, *parser_, [self](error_code code, std::size_t) {
                if (!code)
                    self->handle();
            });
    }

private:
    void handle()
    {
        if (close_on_next_) {
            error_code ignored;
            socket_.close(ignored);
            return;
        }
        keep_alive_ = parser_->get().keep_alive();
        auto self = shared_from_this();
        hooks_->on_request(
            parser_->release(),
            [self](standin_response response, wire_fault fault) {
                self->answer(std::move(response), fault);
            });
    }

    void answer(standin_response response, wire_fault fault)
    {
        if (fault.endless != endless_bytes::none) {
            const auto [begin, rest] = bytes_of(fault.endless);
            bytes_ = begin + rest;
            while (endless_piece_.size() < max_endless_piece)
                endless_piece_ += rest;
            write_endless();
            return;
        }
        if (fault.reset || fault.half_close || fault.hang) {
            apply_silent_fault(fault);
            return;
        }
        close_on_next_ = fault.close;
        response.keep_alive(keep_alive_);
        response.prepare_payload();
        if (fault.cut_at >= 1.0 && !fault.drip && !fault.copy_late &&
            late_copy_.empty() && fault.status_line.empty() &&
            fault.interim.empty()) {
            write_response(std::move(response));
            return;
        }
        const auto response_bytes = to_bytes(response, fault);
        bytes_ = std::exchange(late_copy_, {}) + response_bytes;
        if (fault.copy_late)
            late_copy_ = response_bytes;
        if (fault.cut_at < 1.0) {
            const auto full_size = static_cast<double>(bytes_.size());
            bytes_.resize(static_cast<std::size_t>(full_size * fault.cut_at));
            keep_alive_ = false;
        }
        if (fault.drip)
            drip(0);
        else
            write();
    }

    void apply_silent_fault(wire_fault fault)
    {
        error_code ignored;
        if (fault.reset) {
            socket_.set_option(net::socket_base::linger{true, 0}, ignored);
            socket_.close(ignored);
            return;
        }
        if (fault.half_close)
            socket_.shutdown(tcp::socket::shutdown_send, ignored);
        wait_for_close();
    }

    /// Reads and discards bytes until the client closes the connection.
    void wait_for_close()
    {
        auto self = shared_from_this();
        socket_.async_read_some(
            net::buffer(discarded_), [self](error_code code, std::size_t) {
                if (!code)
                    self->wait_for_close();
            });
    }

    void write_response(standin_response response)
    {
        response_ = std::move(response);
        auto self = shared_from_this();
        beast_http::async_write(
            socket_, response_, [self](error_code code, std::size_t) {
                if (!code && self->keep_alive_)
                    self->read();
            });
    }

    void write()
    {
        auto self = shared_from_this();
        net::async_write(
            socket_, net::buffer(bytes_), [self](error_code code, std::size_t) {
                if (!code && self->keep_alive_)
                    self->read();
            });
    }

    void write_endless()
    {
        auto self = shared_from_this();
        net::async_write(
            socket_, net::buffer(bytes_), [self](error_code code, std::size_t) {
                if (code)
                    return;
                self->bytes_ = self->endless_piece_;
                self->write_endless();
            });
    }

    void drip(std::size_t position)
    {
        if (position >= bytes_.size())
            return;
        auto self = shared_from_this();
        net::async_write(
            socket_,
            net::buffer(&bytes_[position], 1),
            [self, position](error_code code, std::size_t) {
                if (code)
                    return;
                self->timer_.expires_after(drip_interval);
                self->timer_.async_wait(
                    [self, position](error_code) { self->drip(position + 1); });
            });
    }

    tcp::socket socket_;
    net::steady_timer timer_;
    std::shared_ptr<listener_hooks> hooks_;
    boost::beast::flat_buffer buffer_;
    boost::optional<beast_http::request_parser<beast_http::string_body>>
        parser_;
    standin_response response_;
    std::string bytes_;
    std::string endless_piece_;
    std::string late_copy_;
    std::array<char, 4096> discarded_{};
    bool keep_alive_ = true;
    bool close_on_next_ = false;
};

namespace {

struct listener
{
    tcp::acceptor acceptor;
    std::shared_ptr<listener_hooks> hooks;
};

void accept_next(const std::shared_ptr<listener>& self)
{
    self->acceptor.async_accept([self](error_code code, tcp::socket socket) {
        if (code)
            return;
        if (self->hooks->on_connect()) {
            error_code ignored;
            socket.set_option(tcp::no_delay{true}, ignored);
            std::make_shared<connection>(std::move(socket), self->hooks)
                ->start(self->hooks->connect_cost());
        }
        accept_next(self);
    });
}

} // namespace

void listen(
    net::io_context& context,
    const std::string& host,
    std::uint16_t port,
    std::shared_ptr<listener_hooks> hooks)
{
    auto self = std::make_shared<listener>(
        listener{tcp::acceptor{context}, std::move(hooks)});
    const tcp::endpoint address{net::ip::make_address(host), port};
    self->acceptor.open(address.protocol());
    self->acceptor.set_option(net::socket_base::reuse_address{true});
    self->acceptor.bind(address);
    self->acceptor.listen(1024);
    accept_next(self);
}

standin_response make_response(unsigned status, std::string body)
{
    standin_response response;
    response.result(status);
    response.set(beast_http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

} // namespace peridotward::testing
