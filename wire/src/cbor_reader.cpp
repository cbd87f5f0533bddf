#include "cbor_reader.hpp"
#include "frame_error.hpp"

#include <cbor.h>

#include <string>

namespace peridotward {

namespace {

enum class item_type : std::uint8_t
{
    other,
    number,
    boolean,
    bytes,
    array,
};

struct item
{
    item_type type = item_type::other;
    std::uint64_t number = 0;
    std::string_view bytes;
};

template<class Number>
void store_number(void* context, Number value)
{
    *static_cast<item*>(context) = {item_type::number, value, {}};
}

void store_boolean(void* context, bool value)
{
    *static_cast<item*>(context) = {item_type::boolean, value ? 1U : 0U, {}};
}

void store_bytes(void* context, cbor_data data, std::size_t size)
{
    *static_cast<item*>(context) = {
        item_type::bytes, size, {reinterpret_cast<const char*>(data), size}};
}

void store_array_size(void* context, std::size_t size)
{
    *static_cast<item*>(context) = {item_type::array, size, {}};
}

cbor_callbacks make_callbacks()
{
    auto callbacks = cbor_empty_callbacks;
    callbacks.uint8 = store_number<std::uint8_t>;
    callbacks.uint16 = store_number<std::uint16_t>;
    callbacks.uint32 = store_number<std::uint32_t>;
    callbacks.uint64 = store_number<std::uint64_t>;
    callbacks.boolean = store_boolean;
    callbacks.byte_string = store_bytes;
    callbacks.array_start = store_array_size;
    return callbacks;
}

item read_item(
    std::string_view& rest, item_type expected_type, const char* name)
{
    static const auto callbacks = make_callbacks();
    item decoded;
    const auto decoded_head = cbor_stream_decode(
        reinterpret_cast<cbor_data>(rest.data()),
        rest.size(),
        &callbacks,
        &decoded);
    if (decoded_head.status != CBOR_DECODER_FINISHED)
        throw frame_error{
            std::string{"expected "} + name +
            ", but the frame ended or is not valid CBOR"};
    if (decoded.type != expected_type)
        throw frame_error{
            std::string{"expected "} + name +
            ", found an item with initial byte " +
            std::to_string(static_cast<unsigned char>(rest.front()))};
    rest.remove_prefix(decoded_head.read);
    return decoded;
}

} // namespace

std::uint64_t cbor_reader::unsigned_number()
{
    return read_item(rest_, item_type::number, "a number").number;
}

bool cbor_reader::boolean()
{
    return read_item(rest_, item_type::boolean, "a boolean").number != 0;
}

std::string_view cbor_reader::bytes()
{
    return read_item(rest_, item_type::bytes, "a byte string").bytes;
}

std::size_t cbor_reader::array()
{
    const auto count = read_item(rest_, item_type::array, "an array").number;
    if (count > rest_.size())
        throw frame_error{
            "an array of " + std::to_string(count) + " items in " +
            std::to_string(rest_.size()) + " bytes"};
    return static_cast<std::size_t>(count);
}

} // namespace peridotward
