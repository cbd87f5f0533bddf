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
    std::string host; ///< IPv4 number.
    std::uint16_t port = 0;
};

struct frame_link_options
{
    link_address address; ///< Where peers connect.
    std::string instance_id;
    std::uint64_t incarnation = 0;
    std::string key; ///< Shared by the fleet.
    std::size_t max_frame_bytes = 4U << 20U;
    std::uint64_t seed = 0; ///< Of the jitter of reconnects.
};

/// What a link reports, on its own thread.
struct frame_link_events
{
    /// A frame of an admitted peer; false drops the connection.
    std::function<bool(
        const std::string& instance_id,
        std::uint64_t incarnation,
        std::string frame)>
        received;
    /// A frame with a ticket that surely did not leave.
    std::function<void(const std::string& instance_id, std::uint64_t ticket)>
        unsent;
    /// A connection broke; frames written to it may or may not have arrived.
    std::function<void(const std::string& instance_id)> lost;
};

/// Counts since the start.
struct frame_link_counts
{
    std::uint64_t frames_out = 0;
    std::uint64_t bytes_out = 0; ///< With authentication, without WebSocket.
    std::uint64_t frames_in = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t refused = 0; ///< Connections that were not admitted.
    std::uint64_t invalid = 0; ///< Connections dropped for a bad frame.
    std::uint64_t dropped = 0; ///< Frames without a ticket, not sent.
    std::uint64_t connection_attempts = 0;
};

/// Frames between instances over WebSocket, one connection for each direction
/// of a pair. Byte strings only, so that both C++17 and C++20 can use it.
class frame_link
{
public:
    frame_link(frame_link_options options, frame_link_events events);
    ~frame_link();
    frame_link(const frame_link&) = delete;
    frame_link& operator=(const frame_link&) = delete;

    /// Binds the listener and starts the thread.
    ///
    /// \returns The problem, or an empty text.
    [[nodiscard]] std::string start();

    /// Ends all connections and the thread.
    void stop();

    /// All of the following may be called from any thread and never block.

    /// Replaces the addresses of all peers.
    void set_addresses(std::map<std::string, link_address> addresses);

    /// Queues a frame. One with ticket 0 is dropped silently when it cannot be
    /// sent; any other is reported by `unsent`.
    void
    send(std::string instance_id, std::string frame, std::uint64_t ticket = 0);

    /// Refuses connections with these seats, both ways; for tests of cut links.
    void refuse(std::set<std::string> instance_ids);

    [[nodiscard]] frame_link_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace peridotward
