#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace peridotward::testing {

namespace net = boost::asio;
namespace beast_http = boost::beast::http;

using standin_request = beast_http::request<beast_http::string_body>;
using standin_response = beast_http::response<beast_http::string_body>;

/// How a stand-in spoils the bytes of an answer.
struct wire_fault
{
    double cut_at = 1.0; ///< Share of the bytes that is sent before a close.
    bool reset = false;  ///< Reset the connection without an answer.
    bool half_close =
        false;          ///< Stop sending, without an answer; go on reading.
    bool hang = false;  ///< Keep the connection open and never answer.
    bool close = false; ///< Answer as if the connection were kept, then
                        ///< close it when the next request arrives.
    bool drip = false;  ///< One byte each 20 ms.
};

class connection;
using respond = std::function<void(standin_response, wire_fault)>;

/// What a listener does with connections and requests.
struct listener_hooks
{
    /// Returns whether the connection is accepted.
    std::function<bool()> on_connect = [] { return true; };
    /// Returns how long a new connection takes before its first request.
    std::function<std::chrono::nanoseconds()> connect_cost = [] {
        return std::chrono::nanoseconds{};
    };
    std::function<void()> on_disconnect = [] {};
    std::function<void(standin_request, respond)> on_request;
};

/// Listens on `host:port` until the context stops.
/// \throws boost::system::system_error when the address cannot be bound.
void listen(
    net::io_context& context,
    const std::string& host,
    std::uint16_t port,
    std::shared_ptr<listener_hooks> hooks);

[[nodiscard]] standin_response make_response(unsigned status, std::string body);

} // namespace peridotward::testing
