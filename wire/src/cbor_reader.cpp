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
    flag,
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
void take_number(void* context, Number value)
{
    *static_cast<item*>(context) = {item_type::number, value, {}};
}

void take_flag(void* context, bool value)
{
    *static_cast<item*>(context) = {item_type::flag, value ? 1U : 0U, {}};
}

void take_bytes(void* context, cbor_data data, std::size_t size)
{
    *static_cast<item*>(context) = {
        item_type::bytes, size, {reinterpret_cast<const char*>(data), size}};
}

void take_array(void* context, std::size_t size)
{
    *static_cast<item*>(context) = {item_type::array, size, {}};
}

cbor_callbacks make_callbacks()
{
    auto callbacks = cbor_empty_callbacks;
    callbacks.uint8 = take_number<std::uint8_t>;
    callbacks.uint16 = take_number<std::uint16_t>;
    callbacks.uint32 = take_number<std::uint32_t>;
    callbacks.uint64 = take_number<std::uint64_t>;
    callbacks.boolean = take_flag;
    callbacks.byte_string = take_bytes;
    callbacks.array_start = take_array;
    return callbacks;
}

item take_item(std::string_view& rest, item_type wanted, const char* name)
{
    static const auto callbacks = make_callbacks();
    item taken;
    const auto step = cbor_stream_decode(
        reinterpret_cast<cbor_data>(rest.data()),
        rest.size(),
        &callbacks,
        &taken);
    if (step.status != CBOR_DECODER_FINISHED)
        throw frame_error{
            std::string{"expected "} + name + ", the frame ends or is no CBOR"};
    if (taken.type != wanted)
        throw frame_error{
            std::string{"expected "} + name +
            ", not an item that starts with " +
            std::to_string(static_cast<unsigned char>(rest.front()))};
    rest.remove_prefix(step.read);
    return taken;
}

} // namespace

std::uint64_t cbor_reader::unsigned_number()
{
    return take_item(rest_, item_type::number, "a number").number;
}

bool cbor_reader::flag()
{
    return take_item(rest_, item_type::flag, "a flag").number != 0;
}

std::string_view cbor_reader::bytes()
{
    return take_item(rest_, item_type::bytes, "bytes").bytes;
}

std::size_t cbor_reader::array()
{
    const auto count = take_item(rest_, item_type::array, "an array").number;
    if (count > rest_.size())
        throw frame_error{
            "an array of " + std::to_string(count) + " items in " +
            std::to_string(rest_.size()) + " bytes"};
    return static_cast<std::size_t>(count);
}

} // namespace peridotward
