#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace peridotward {

/// Address of a listener.
struct link_address
{
    std::string host; ///< IPv4 address in dotted decimal.
    std::uint16_t port = 0;
};

/// Settings of a frame link.
struct frame_link_options
{
    link_address address; ///< Listening address for peers.
    std::string instance_id;
    std::uint64_t incarnation = 0;
    std::string key; ///< Secret that all instances share.
    std::size_t max_frame_bytes = 4U << 20U;
    std::uint64_t seed = 0; ///< Seeds the jitter of reconnect delays.
};

/// Callbacks of a link, called on the thread of the link.
struct frame_link_events
{
    /// A frame from an authenticated peer was received. Returns false to close
    /// the connection.
    std::function<bool(
        const std::string& instance_id,
        std::uint64_t incarnation,
        std::string frame)>
        received;
    /// The frame with this ticket was not sent.
    std::function<void(const std::string& instance_id, std::uint64_t ticket)>
        unsent;
    /// The connection to `instance_id` was lost; frames written to it may or
    /// may not have arrived.
    std::function<void(const std::string& instance_id)> lost;
};

/// Counters since the start of a link.
struct frame_link_counts
{
    std::uint64_t frames_out = 0;
    std::uint64_t bytes_out = 0; ///< With MACs, without WebSocket headers.
    std::uint64_t frames_in = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t refused = 0; ///< Connections that failed the handshake.
    std::uint64_t invalid = 0; ///< Connections closed after an invalid frame.
    std::uint64_t dropped = 0; ///< Unsent frames without a ticket.
    std::uint64_t connection_attempts = 0; ///< Outgoing.
};

/// Sends and receives frames over WebSocket, with one connection for each
/// direction between two instances. The interface uses byte strings only, so
/// that both C++17 and C++20 sources can include it.
class frame_link
{
public:
    frame_link(frame_link_options options, frame_link_events events);
    ~frame_link();
    frame_link(const frame_link&) = delete;
    frame_link& operator=(const frame_link&) = delete;

    /// Binds the listener and starts the thread.
    ///
    /// \returns An error message, or an empty string on success.
    [[nodiscard]] std::string start();

    /// Closes all connections and joins the thread.
    void stop();

    /// The following functions can be called from any thread and never block.

    /// Replaces the addresses of all peers, by instance id.
    void set_addresses(std::map<std::string, link_address> addresses);

    /// Queues a frame for sending. If it cannot be sent, it is counted as
    /// dropped if `ticket` is 0, and reported by `unsent` otherwise.
    void
    send(std::string instance_id, std::string frame, std::uint64_t ticket = 0);

    /// Refuses connections from and to these instances and closes the existing
    /// ones; for tests of network partitions.
    void refuse(std::set<std::string> instance_ids);

    [[nodiscard]] frame_link_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
