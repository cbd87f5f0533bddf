#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/endpoint.hpp>
#include <peridotward/http/http_message.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotward {

/// \brief Request to an upstream or to the platform.
struct client_request
{
    endpoint to;
    std::string method = "GET";
    std::string path;
    http_headers headers;
    std::string body;
    duration timeout = seconds{1};
    /// Opens a connection for this request only, so that libcurl never sends
    /// the request again; for requests that are not idempotent.
    bool fresh_connection = false;
    /// Called right before the first byte of the request is sent. If it returns
    /// false, the exchange ends as `not_sent`. If empty, the request is sent.
    std::function<bool()> may_send;
};

/// \brief Result of an exchange with a server.
enum class transport_outcome : std::uint8_t
{
    answered,       ///< A complete response was received.
    not_sent,       ///< No byte of the request was sent.
    timed_out,      ///< Sent, but no complete response in time.
    broken,         ///< Sent, but the connection failed.
    body_too_large, ///< Sent, but the response exceeded the limit.
};

/// \brief Result and response of one exchange.
struct client_response
{
    transport_outcome outcome = transport_outcome::not_sent;
    std::uint16_t status = 0;
    http_headers headers; ///< Names are in lower case.
    std::string body;
    duration elapsed{};
};

/// \brief Identifies a running exchange.
enum class client_exchange_id : std::uint64_t
{
};

/// \brief HTTP client that runs many exchanges on one thread.
///
/// \remarks All functions except `wake` must be called on the thread that calls
/// `poll`.
class http_client
{
public:
    using completion = std::function<void(client_response)>;

    /// \param max_body_bytes Maximum size of a response body.
    explicit http_client(std::size_t max_body_bytes = 16U << 20U);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// \brief Starts an exchange. `poll` calls `done` when the exchange ends.
    client_exchange_id submit(client_request request, completion done);

    /// \brief Cancels an exchange without calling its completion and closes its
    /// connection.
    void cancel(client_exchange_id id);

    /// \brief Processes network events and calls the completions of exchanges
    /// that ended; waits up to `max_wait` for an event.
    void poll(duration max_wait);

    /// \brief Makes a waiting `poll` return; can be called from any thread.
    void wake() noexcept;

    /// \returns The number of running exchanges.
    [[nodiscard]] std::size_t running() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
