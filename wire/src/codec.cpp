#include "cbor_reader.hpp"
#include "cbor_writer.hpp"
#include "frame_error.hpp"
#include "message_fields.hpp"

#include <peridotward/wire/codec.hpp>

#include <concepts>
#include <limits>
#include <type_traits>

namespace peridotward {

namespace {

template<class Value>
concept named_enum = std::is_enum_v<Value> && requires
{
    name_table<Value>::entries;
};

template<class Struct>
constexpr std::size_t field_count =
    std::tuple_size_v<decltype(message_fields<Struct>::list)>;

template<std::unsigned_integral Number>
void write_value(cbor_writer& out, Number value)
{
    out.unsigned_number(value);
}

void write_value(cbor_writer& out, bool value)
{
    out.boolean(value);
}

void write_value(cbor_writer& out, const std::string& value)
{
    out.bytes(value);
}

template<class Enum>
requires std::is_enum_v<Enum>
void write_value(cbor_writer& out, Enum value)
{
    out.unsigned_number(static_cast<std::uint64_t>(value));
}

template<has_message_fields Struct>
void write_value(cbor_writer& out, const Struct& value);

template<class Element>
void write_value(cbor_writer& out, const std::vector<Element>& list)
{
    out.array(list.size());
    for (const auto& element : list)
        write_value(out, element);
}

template<has_message_fields Struct>
void write_members(cbor_writer& out, const Struct& value)
{
    std::apply(
        [&](const auto&... field) {
            (write_value(out, value.*field.member), ...);
        },
        message_fields<Struct>::list);
}

template<has_message_fields Struct>
void write_value(cbor_writer& out, const Struct& value)
{
    out.array(field_count<Struct>);
    write_members(out, value);
}

void check_value(const key_range& value)
{
    if (value.first > value.last)
        throw frame_error{
            "first key " + std::to_string(value.first) + " is above last " +
            std::to_string(value.last)};
}

void check_value(const endpoint& value)
{
    if (value == endpoint{})
        return;
    const auto parsed = parse_endpoint(value.text());
    if (!parsed)
        throw frame_error{parsed.error().message};
}

template<class Value>
void check_value(const Value&)
{}

template<std::unsigned_integral Number>
void read_value(cbor_reader& in, Number& value)
{
    const auto number = in.unsigned_number();
    if (number > std::numeric_limits<Number>::max())
        throw frame_error{std::to_string(number) + " is out of range"};
    value = static_cast<Number>(number);
}

void read_value(cbor_reader& in, bool& value)
{
    value = in.boolean();
}

void read_value(cbor_reader& in, std::string& value)
{
    value = in.bytes();
}

template<named_enum Enum>
void read_value(cbor_reader& in, Enum& value)
{
    const auto number = in.unsigned_number();
    for (const auto& [enumerator, name] : name_table<Enum>::entries) {
        if (static_cast<std::uint64_t>(enumerator) == number) {
            value = enumerator;
            return;
        }
    }
    throw frame_error{std::to_string(number) + " is not a known value"};
}

template<class Enum>
requires(std::is_enum_v<Enum> && !named_enum<Enum>) void read_value(
    cbor_reader& in, Enum& value)
{
    static_assert(sizeof(Enum) == sizeof(std::uint64_t));
    value = static_cast<Enum>(in.unsigned_number());
}

template<has_message_fields Struct>
void read_value(cbor_reader& in, Struct& value);

template<class Element>
void read_value(cbor_reader& in, std::vector<Element>& list)
{
    const auto count = in.array();
    if (count > max_list_items)
        throw frame_error{
            std::to_string(count) + " items, at most " +
            std::to_string(max_list_items) + " allowed"};
    for (std::size_t i = 0; i < count; ++i)
        read_value(in, list.emplace_back());
}

template<class Struct, class Member>
void read_member(
    cbor_reader& in, Struct& value, const message_field<Struct, Member>& field)
{
    try {
        read_value(in, value.*field.member);
    }
    catch (const frame_error& problem) {
        throw frame_error{std::string{field.name} + ": " + problem.what()};
    }
}

template<has_message_fields Struct>
void read_members(cbor_reader& in, Struct& value)
{
    std::apply(
        [&](const auto&... field) { (read_member(in, value, field), ...); },
        message_fields<Struct>::list);
    check_value(value);
}

void expect_count(std::size_t actual, std::size_t expected)
{
    if (actual != expected)
        throw frame_error{
            "expected " + std::to_string(expected) + " members, not " +
            std::to_string(actual)};
}

template<has_message_fields Struct>
void read_value(cbor_reader& in, Struct& value)
{
    expect_count(in.array(), field_count<Struct>);
    read_members(in, value);
}

/// Reads the members of a message whose type has the index `tag` in
/// `peer_message`. `items` is the size of the array that holds the message.
template<std::size_t Position = 0>
peer_message read_message(cbor_reader& in, std::uint64_t tag, std::size_t items)
{
    if constexpr (Position == std::variant_size_v<peer_message>) {
        throw frame_error{"type " + std::to_string(tag) + " does not exist"};
    }
    else {
        if (tag != Position)
            return read_message<Position + 1>(in, tag, items);
        std::variant_alternative_t<Position, peer_message> message;
        expect_count(items, field_count<decltype(message)> + 1);
        read_members(in, message);
        return message;
    }
}

} // namespace

std::string encode(const peer_message& message)
{
    std::string frame;
    cbor_writer out{frame};
    std::visit(
        [&]<class Message>(const Message& alternative) {
            out.array(field_count<Message> + 1);
            out.unsigned_number(message.index());
            write_members(out, alternative);
        },
        message);
    return frame;
}

result<peer_message> decode(std::string_view frame)
{
    try {
        cbor_reader in{frame};
        const auto items = in.array();
        const auto tag = in.unsigned_number();
        auto message = read_message(in, tag, items);
        if (!in.at_end())
            throw frame_error{"bytes follow the message"};
        return message;
    }
    catch (const frame_error& problem) {
        return fail(error_kind::frame_invalid, problem.what());
    }
}

} // namespace peridotward
