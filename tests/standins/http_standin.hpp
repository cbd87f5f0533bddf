#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace peridotward::testing {

namespace net = boost::asio;
namespace beast_http = boost::beast::http;

using standin_request = beast_http::request<beast_http::string_body>;
using standin_response = beast_http::response<beast_http::string_body>;

/// What a stand-in sends without end, in place of a response.
enum class endless_bytes : std::uint8_t
{
    none,
    garbage,
    fields,
    chunks,
    body, ///< Without a length.
};

/// A fault that a stand-in applies to the bytes of a response.
struct wire_fault
{
    double cut_at = 1.0;     ///< Share of the bytes sent before the close.
    bool reset = false;      ///< Reset the connection without a response.
    bool half_close = false; ///< Shut down sending without a response,
                             ///< keep reading.
    bool hang = false;       ///< Keep the connection open and never respond.
    bool close = false;      ///< Respond with keep-alive, then close the
                             ///< connection when the next request arrives.
    bool drip = false;       ///< Send one byte every 20 ms.
    /// Replaces the status line, if not empty, without its line end.
    std::string_view status_line{};
    /// Sent before the response.
    std::string_view interim{};
    /// Send the response again, before the next one on the connection.
    bool copy_late = false;
    endless_bytes endless = endless_bytes::none; ///< Until the peer closes.
};

class connection;
/// Sends the response to one request.
using respond = std::function<void(standin_response, wire_fault)>;

/// Callbacks of a listener.
struct listener_hooks
{
    /// Returns whether the connection is accepted.
    std::function<bool()> on_connect = [] { return true; };
    /// Returns the delay before the first request of a new connection is read.
    std::function<std::chrono::nanoseconds()> connect_cost = [] {
        return std::chrono::nanoseconds{};
    };
    /// Called when an accepted connection is destroyed.
    std::function<void()> on_disconnect = [] {};
    std::function<void(standin_request, respond)> on_request;
};

/// Accepts connections on `host:port` until `context` stops.
/// \throws boost::system::system_error when the address cannot be bound.
void listen(
    net::io_context& context,
    const std::string& host,
    std::uint16_t port,
    std::shared_ptr<listener_hooks> hooks);

/// \returns A response with content type application/json.
[[nodiscard]] standin_response make_response(unsigned status, std::string body);

} // namespace peridotward::testing
