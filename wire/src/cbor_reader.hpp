#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace peridotward {

/// Takes CBOR items one by one from a byte string.
///
/// Each call decodes the head of one item, without recursion and without
/// memory of its own, so nesting goes only as deep as the caller asks. Items
/// of indefinite length, tags, maps and floating point are refused. Each
/// function throws frame_error when the next item is of another type.
class cbor_reader
{
public:
    explicit cbor_reader(std::string_view bytes) noexcept : rest_{bytes} {}

    [[nodiscard]] std::uint64_t unsigned_number();
    [[nodiscard]] bool flag();

    /// \returns A view into the bytes being read.
    [[nodiscard]] std::string_view bytes();

    /// \returns The number of items, at most the number of bytes left.
    [[nodiscard]] std::size_t array();

    [[nodiscard]] bool at_end() const noexcept { return rest_.empty(); }

private:
    std::string_view rest_;
};

} // namespace peridotward
