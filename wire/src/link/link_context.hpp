#pragma once

#include "frame_link.hpp"
#include "handshake.hpp"

#include <atomic>
#include <set>
#include <string>

namespace peridotward {

inline constexpr const char* websocket_path = "/peers/1";
inline constexpr std::size_t max_handshake_bytes = 1024;
inline constexpr long handshake_timeout_ms = 2000;

/// State that the listener and the connector of a link share. The counters can
/// be read on any thread, all else only on the thread of the link.
struct link_context
{
    frame_link_options options;
    frame_link_events events;
    std::set<std::string> refused_instances;

    std::atomic<std::uint64_t> frames_out{0};
    std::atomic<std::uint64_t> bytes_out{0};
    std::atomic<std::uint64_t> frames_in{0};
    std::atomic<std::uint64_t> bytes_in{0};
    std::atomic<std::uint64_t> refusals{0};
    std::atomic<std::uint64_t> invalid{0};
    std::atomic<std::uint64_t> dropped{0};
    std::atomic<std::uint64_t> connection_attempts{0};

    [[nodiscard]] link_hello own_hello() const
    {
        return {options.instance_id, options.incarnation, make_nonce()};
    }
    [[nodiscard]] bool is_refused(const std::string& instance_id) const
    {
        return refused_instances.count(instance_id) != 0;
    }
    /// \returns The maximum size of a WebSocket message after the handshake.
    [[nodiscard]] std::size_t max_message_bytes() const
    {
        return options.max_frame_bytes + frame_mac_bytes;
    }
};

} // namespace peridotward
