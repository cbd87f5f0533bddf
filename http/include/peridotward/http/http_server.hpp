#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/http/http_message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridotward {

/// \brief Identifies a received request until its response is sent.
enum class exchange_id : std::uint64_t
{
};

/// \brief Settings of an HTTP server.
struct http_server_options
{
    std::string name; ///< For error messages and thread names.
    endpoint address;
    std::uint32_t threads = 1;
    std::size_t max_request_bytes = 65536;
    milliseconds header_timeout{5000};
    milliseconds body_timeout{5000};
};

/// \brief HTTP server whose responses can be sent later, from any thread.
///
/// \remarks Pistache queues writes by file descriptor number, which may be in
/// use for another connection when the write is executed. A response sent from
/// another thread could thus reach another client. Responses are therefore
/// posted to a mailbox of the reactor that owns the connection and sent by a
/// timer on the thread of the reactor. Pipelined requests are not supported.
class http_server
{
public:
    /// Called for each request on a reactor thread; must not block.
    using request_handler = std::function<void(exchange_id, http_request)>;
    /// Called on a reactor thread when the client disconnected before its
    /// response was sent.
    using disconnect_handler = std::function<void(exchange_id)>;

    http_server(
        http_server_options options,
        request_handler on_request,
        disconnect_handler on_disconnect);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// \brief Binds the address and starts the reactor threads.
    ///
    /// \returns `io_failed` with name and address if the bind fails.
    [[nodiscard]] result<void> start();

    /// \brief Sends `response`, or discards it if the client has disconnected.
    void reply(exchange_id id, http_response response);

    /// \returns The number of requests without a response.
    [[nodiscard]] std::size_t open_exchanges() const noexcept;

    /// \brief Stops the server. Responses that are not sent yet are dropped.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
