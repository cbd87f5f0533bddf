#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/endpoint.hpp>
#include <peridotward/http/http_message.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotward {

/// \brief One request to an upstream or to the platform.
struct client_request
{
    endpoint to;
    std::string method = "GET";
    std::string path;
    http_headers headers;
    std::string body;
    duration timeout = seconds{1};
    bool fresh_connection = false; ///< For non-idempotent requests.
    /// Asked right before the first byte leaves; false ends the exchange as
    /// `not_sent`. Empty for always.
    std::function<bool()> may_send;
};

/// \brief How far an exchange with a server came.
enum class transport_outcome : std::uint8_t
{
    answered,       ///< A whole answer arrived.
    not_sent,       ///< No byte of the request left.
    timed_out,      ///< Sent, and no whole answer in time.
    broken,         ///< Sent, and the connection failed.
    body_too_large, ///< Sent, and the answer passed the limit.
};

/// \brief The end of one exchange.
struct client_response
{
    transport_outcome outcome = transport_outcome::not_sent;
    std::uint16_t status = 0;
    http_headers headers; ///< Names in lower case.
    std::string body;
    duration elapsed{};
};

/// \brief Names one running exchange.
enum class client_call : std::uint64_t
{
};

/// \brief HTTP client that runs many exchanges on one thread.
///
/// \remarks All calls but `wake` belong to the thread that calls `poll`.
class http_client
{
public:
    using completion = std::function<void(client_response)>;

    /// \param max_body_bytes Longest answer that is accepted.
    explicit http_client(std::size_t max_body_bytes = 16U << 20U);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// \brief Starts an exchange; `done` is called from `poll`.
    client_call submit(client_request request, completion done);

    /// \brief Ends an exchange without calling its completion. Its
    /// connection is closed.
    void abandon(client_call call);

    /// \brief Runs exchanges; waits up to `max_wait` for something to do.
    void poll(duration max_wait);

    /// \brief Ends a waiting `poll`; callable from any thread.
    void wake() noexcept;

    /// \returns The number of running exchanges.
    [[nodiscard]] std::size_t running() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
