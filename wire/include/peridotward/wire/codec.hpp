#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief Maximum number of elements of one list in a message.
inline constexpr std::size_t max_list_items = 65536;

/// \brief Encodes `message` as one CBOR array.
///
/// \returns The array: the index of the message's type in `peer_message`, then
/// the members of the message in order. Strings are encoded as byte strings.
[[nodiscard]] std::string encode(const peer_message& message);

/// \brief Decodes the message in `frame`.
///
/// \returns The message, or `frame_invalid` with the path of the invalid member
/// and the expected value.
///
/// \remarks The recursion is only as deep as the nesting of the message type,
/// whatever the frame holds. Memory use is proportional to the size of the
/// frame, which the caller must limit.
[[nodiscard]] result<peer_message> decode(std::string_view frame);

} // namespace peridotward
