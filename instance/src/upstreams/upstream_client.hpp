#pragma once

#include "event_loop.hpp"

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <functional>
#include <optional>
#include <string>

namespace peridotward {

/// Limits of one request to an upstream.
struct send_limits
{
    duration budget{}; ///< Time until the request's deadline.
    /// Asked right before the first byte leaves; empty for always.
    std::function<bool()> may_send;
};

/// What an upstream is asked for one attempt of a search.
struct shard_request
{
    std::string id; ///< Unique over all instances and processes.
    endpoint to;
    std::string service;
    key_range range;
    snapshot_id snapshot = 0;
    std::string criteria; ///< JSON text.
    send_limits terms;
};

/// What came back; `body` is unchecked.
struct shard_response
{
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false;
    std::uint16_t status = 0; ///< HTTP status, 0 without an answer.
    upstream_report report;
    duration elapsed{};
    std::optional<std::uint32_t> free_slots; ///< As told by the owner.
    std::string body;
};

/// Speaks the upstreams' protocol.
class upstream_client
{
public:
    using completion = std::function<void(shard_response)>;

    /// \param domain Own failure domain, told to upstreams.
    upstream_client(event_loop& loop, std::string domain)
        : loop_{&loop}, domain_{std::move(domain)}
    {}

    void search(const shard_request& request, completion done);

    /// Asks the upstream to give up on a request; needs no answer.
    void cancel(const endpoint& to, const std::string& request);

    /// Asks for the upstream's own report.
    void status(const endpoint& to, completion done);

    /// Fetches one record.
    void fetch(
        const endpoint& to,
        const std::string& request,
        const std::string& key,
        send_limits terms,
        completion done);

    /// Appends one entry, on a fresh connection and never twice.
    void append(
        const endpoint& to,
        const std::string& request,
        const std::string& entry,
        send_limits terms,
        completion done);

private:
    void submit(client_request request, completion done);

    event_loop* loop_;
    std::string domain_;
};

} // namespace peridotward
