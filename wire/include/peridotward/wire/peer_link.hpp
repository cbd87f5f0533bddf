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

/// \brief Names one message whose fate its sender wants to know; 0 for none.
using delivery_ticket = std::uint64_t;

struct peer_link_options
{
    endpoint address; ///< Where peers connect.
    std::string instance_id;
    incarnation_number incarnation = 0;
    std::string key;                         ///< Shared by the fleet.
    std::size_t max_frame_bytes = 4U << 20U; ///< Both ways.
    std::uint64_t seed = 0;                  ///< Of the jitter of reconnects.
};

/// \brief What a link reports, on its own thread.
struct peer_link_events
{
    /// A message of an admitted peer.
    std::function<void(
        const std::string& instance_id,
        incarnation_number incarnation,
        peer_message message)>
        received;
    /// A message that surely did not leave.
    std::function<void(const std::string& instance_id, delivery_ticket ticket)>
        unsent;
    /// A connection broke: messages sent to `instance_id` before this report
    /// and not reported as unsent may or may not have arrived.
    std::function<void(const std::string& instance_id)> lost;
};

/// \brief Counts since the start of a link.
struct peer_link_counts
{
    std::uint64_t frames_out = 0;
    std::uint64_t bytes_out = 0; ///< With authentication, without WebSocket.
    std::uint64_t frames_in = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t refused = 0; ///< Connections that were not admitted.
    std::uint64_t invalid = 0; ///< Connections dropped for a bad frame.
    std::uint64_t dropped = 0; ///< Messages without a ticket, not sent.
    std::uint64_t connection_attempts = 0; ///< Connections tried.
};

/// \brief Messages between instances.
///
/// \remarks Has a thread of its own. Functions may be called from any thread
/// and never block. Connections open on demand; a peer that cannot be reached
/// is tried again after a growing, jittered wait, and until then messages to
/// it are reported as unsent at once. docs/design/peer-link.md describes the
/// admission of peers.
class peer_link
{
public:
    peer_link(const peer_link_options& options, peer_link_events events);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// \brief Binds the listener and starts the thread.
    ///
    /// \returns `io_failed` with the address when it cannot be bound.
    [[nodiscard]] result<void> start();

    /// \brief Ends all connections and the thread.
    void stop();

    /// \brief Replaces the addresses of all peers, by seat.
    void set_addresses(const std::map<std::string, endpoint>& addresses);

    /// \brief Queues a message. When the queue is full, the oldest message
    /// without a ticket gives way.
    void send(
        const std::string& instance_id,
        const peer_message& message,
        delivery_ticket ticket = 0);

    /// \brief Refuses connections with these seats, both ways; for tests of
    /// cut links.
    void refuse(std::set<std::string> instance_ids);

    [[nodiscard]] peer_link_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
