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

/// \brief Names one request whose answer is owed.
enum class exchange_id : std::uint64_t
{
};

/// \brief What a listener needs to start.
struct http_server_options
{
    std::string name; ///< For log lines and thread names.
    endpoint address;
    std::uint32_t threads = 1;
    std::size_t max_request_bytes = 65536;
    milliseconds header_timeout{5000};
    milliseconds body_timeout{5000};
};

/// \brief HTTP listener whose requests are answered later, from any thread.
///
/// \remarks Pistache queues writes by descriptor number, so an answer sent
/// from a foreign thread may reach another caller. Answers are therefore
/// posted to a mailbox of the reactor that owns the connection and sent from
/// a timer on its thread. Pipelined requests are not supported.
class http_server
{
public:
    /// Called on a reactor thread; must not block.
    using request_handler = std::function<void(exchange_id, http_request)>;
    /// Called on a reactor thread when the sender left before its answer.
    using gone_handler = std::function<void(exchange_id)>;

    http_server(
        http_server_options options,
        request_handler on_request,
        gone_handler on_gone);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// \brief Binds and starts to serve on own threads.
    ///
    /// \returns `io_failed` with name and address when the bind fails.
    [[nodiscard]] result<void> start();

    /// \brief Sends `response`; ignored when the sender has left.
    void reply(exchange_id id, http_response response);

    /// \returns The number of answers still owed.
    [[nodiscard]] std::size_t open_exchanges() const noexcept;

    /// \brief Stops serving; owed answers are dropped.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
