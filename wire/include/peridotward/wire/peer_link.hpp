#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace peridotward {

/// \brief Identifies a message whose sender must be notified when the message
/// could not be sent; 0 if no notification is needed.
using delivery_ticket = std::uint64_t;

/// \brief Settings of a peer link.
struct peer_link_options
{
    endpoint address; ///< Listening address for peers.
    std::string instance_id;
    incarnation_number incarnation = 0;
    std::string key; ///< Secret that all instances share.
    std::size_t max_frame_bytes = 4U << 20U; ///< Sent or received.
    std::uint64_t seed = 0; ///< Seeds the jitter of reconnect delays.
};

/// \brief Callbacks of a link, called on the thread of the link.
struct peer_link_events
{
    /// A message from an authenticated peer was received.
    std::function<void(
        const std::string& instance_id,
        incarnation_number incarnation,
        peer_message message)>
        received;
    /// The message with this ticket was not sent.
    std::function<void(const std::string& instance_id, delivery_ticket ticket)>
        unsent;
    /// The connection to `instance_id` was lost. Messages that were sent
    /// before and not reported as `unsent` may or may not have arrived.
    std::function<void(const std::string& instance_id)> lost;
};

/// \brief Counters since the start of a link.
struct peer_link_counts
{
    std::uint64_t frames_out = 0;
    std::uint64_t bytes_out = 0; ///< With MACs, without WebSocket headers.
    std::uint64_t frames_in = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t refused = 0; ///< Connections that failed the handshake.
    std::uint64_t invalid = 0; ///< Connections closed after an invalid frame.
    std::uint64_t dropped = 0; ///< Unsent messages without a ticket.
    std::uint64_t connection_attempts = 0; ///< Outgoing.
};

/// \brief Exchanges messages with other instances.
///
/// \remarks A link runs on its own thread. The member functions can be called
/// from any thread; `set_addresses`, `send`, `refuse` and `counts` never block.
/// Connections are opened on demand. After a failure, the link reconnects to a
/// peer no earlier than after an exponential, jittered delay; until then,
/// messages to the peer are reported as unsent at once.
/// docs/design/peer-link.md describes how peers authenticate each other.
class peer_link
{
public:
    peer_link(const peer_link_options& options, peer_link_events events);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// \brief Binds the listener and starts the thread.
    ///
    /// \returns `io_failed` with the address if it cannot be bound.
    [[nodiscard]] result<void> start();

    /// \brief Closes all connections and joins the thread.
    void stop();

    /// \brief Replaces the addresses of all peers, by instance id. Connections
    /// to peers that moved or are not listed are closed.
    void set_addresses(const std::map<std::string, endpoint>& addresses);

    /// \brief Queues a message for sending. When the queue is full, the oldest
    /// message without a ticket is dropped.
    void send(
        const std::string& instance_id,
        const peer_message& message,
        delivery_ticket ticket = 0);

    /// \brief Refuses connections from and to these instances, and closes the
    /// existing ones; for tests of network partitions.
    void refuse(std::set<std::string> instance_ids);

    [[nodiscard]] peer_link_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
