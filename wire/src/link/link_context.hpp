#pragma once

#include "admission.hpp"
#include "frame_link.hpp"

#include <atomic>
#include <set>
#include <string>

namespace peridotward {

inline constexpr const char* link_path = "/peers/1";
inline constexpr std::size_t max_admission_bytes = 1024;
inline constexpr long admission_limit_ms = 2000;

/// What both sides of a link share; used on the link's thread, the counters on
/// any.
struct link_context
{
    frame_link_options options;
    frame_link_events events;
    std::set<std::string> refused;

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
    [[nodiscard]] bool refuses(const std::string& instance_id) const
    {
        return refused.count(instance_id) != 0;
    }
    /// \returns The longest message of an admitted connection.
    [[nodiscard]] std::size_t max_message_bytes() const
    {
        return options.max_frame_bytes + frame_mac_bytes;
    }
};

} // namespace peridotward
