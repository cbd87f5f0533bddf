#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotward {

/// Appends CBOR items to a byte string.
class cbor_writer
{
public:
    explicit cbor_writer(std::string& out) : out_{&out} {}

    void unsigned_number(std::uint64_t value);
    void boolean(bool value);
    void bytes(std::string_view value);
    void array(std::size_t items);

private:
    std::string* out_;
};

} // namespace peridotward
