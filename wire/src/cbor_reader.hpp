#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace peridotward {

/// Reads CBOR items one by one from a byte string.
///
/// Each call decodes the head of one item without recursion or allocation, so
/// the nesting depth is limited by the caller. Items of indefinite length,
/// tags, maps and floating-point numbers are rejected. Each function throws
/// frame_error if the next item has another type.
class cbor_reader
{
public:
    explicit cbor_reader(std::string_view bytes) noexcept : rest_{bytes} {}

    [[nodiscard]] std::uint64_t unsigned_number();
    [[nodiscard]] bool boolean();

    /// \returns A view into the input bytes.
    [[nodiscard]] std::string_view bytes();

    /// \returns The number of items in the array, at most the number of
    /// remaining bytes.
    [[nodiscard]] std::size_t array();

    [[nodiscard]] bool at_end() const noexcept { return rest_.empty(); }

private:
    std::string_view rest_;
};

} // namespace peridotward
