#pragma once

#include "event_loop.hpp"

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <functional>
#include <optional>
#include <string>

namespace peridotward {

/// Limits for sending one request to an upstream.
struct send_limits
{
    duration budget{}; ///< Time until the request's deadline.
    /// Checked right before the first byte is sent; empty to always send.
    std::function<bool()> may_send;
};

/// The request to an upstream for one attempt of a query.
struct shard_request
{
    std::string id; ///< Unique over all instances and processes.
    endpoint to;
    std::string service;
    key_range range;
    snapshot_id snapshot = 0;
    std::string criteria; ///< JSON text.
    send_limits limits;
};

/// The result of a request to an upstream. `body` is not validated.
struct shard_response
{
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false;        ///< Whether any byte may have reached it.
    std::uint16_t status = 0; ///< HTTP status, 0 without a response.
    upstream_report report;
    duration elapsed{};
    std::optional<std::uint32_t> free_slots; ///< Reported by the owner.
    std::string body;
};

/// Client of the upstreams' HTTP protocol.
class upstream_client
{
public:
    using completion = std::function<void(shard_response)>;

    /// \param domain Own failure domain, sent to upstreams.
    upstream_client(event_loop& loop, std::string domain)
        : loop_{&loop}, domain_{std::move(domain)}
    {}

    void search(const shard_request& request, completion done);

    /// Asks the upstream to cancel a request. The response is ignored.
    void cancel(const endpoint& to, const std::string& request);

    /// Requests the upstream's own report.
    void status(const endpoint& to, completion done);

    /// Fetches the record with this `key`.
    void fetch(
        const endpoint& to,
        const std::string& request,
        const std::string& key,
        send_limits limits,
        completion done);

    /// Appends one entry. Uses a new connection, and never sends the entry
    /// twice.
    void append(
        const endpoint& to,
        const std::string& request,
        const std::string& entry,
        send_limits limits,
        completion done);

private:
    void submit(client_request request, completion done);

    event_loop* loop_;
    std::string domain_;
};

} // namespace peridotward
