#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Longest list in one message, in elements.
inline constexpr std::size_t max_list_items = 65536;

/// \returns `message` as one CBOR array: the position of its type in
/// `peer_message`, then its members in order. Texts are byte strings.
[[nodiscard]] std::string encode(const peer_message& message);

/// \returns The message in `frame`, or `frame_invalid` with the path of the
/// member and what was expected.
///
/// \remarks Reads without recursion beyond the members' own nesting, and
/// needs memory in proportion to the frame. The caller bounds the frame.
[[nodiscard]] result<peer_message> decode(std::string_view frame);

} // namespace peridotward
