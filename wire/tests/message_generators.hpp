#pragma once

#include "message_fields.hpp"

#include <peridotward/core/membership/peer_message.hpp>

#include <rapidcheck.h>

#include <string>
#include <type_traits>

namespace peridotward {

template<class Value>
void fill_random(Value& value);

template<class Element>
void fill_random(std::vector<Element>& list)
{
    list.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (auto& element : list)
        fill_random(element);
}

inline void fill_random(key_range& range)
{
    const auto keys = *rc::gen::pair(
        rc::gen::arbitrary<record_key>(), rc::gen::arbitrary<record_key>());
    range = {
        std::min(keys.first, keys.second), std::max(keys.first, keys.second)};
}

inline void fill_random(endpoint& address)
{
    address = {
        "127.33." + std::to_string(*rc::gen::inRange(0, 256)) + ".1",
        *rc::gen::inRange<std::uint16_t>(1, 65535)};
}

/// Fills every member of a message with random values.
template<class Value>
void fill_random(Value& value)
{
    if constexpr (has_message_fields<Value>)
        std::apply(
            [&](const auto&... field) {
                (fill_random(value.*field.member), ...);
            },
            message_fields<Value>::list);
    else if constexpr (std::is_same_v<Value, std::string>)
        value = *rc::gen::arbitrary<std::string>();
    else if constexpr (std::is_same_v<Value, bool>)
        value = *rc::gen::arbitrary<bool>();
    else if constexpr (requires { name_table<Value>::entries; })
        value = (*rc::gen::elementOf(name_table<Value>::entries)).first;
    else
        value = static_cast<Value>(*rc::gen::arbitrary<std::conditional_t<
                                       std::is_enum_v<Value>,
                                       std::uint64_t,
                                       Value>>());
}

/// \returns A message with random members, of the type with index `tag` in
/// `peer_message`.
template<std::size_t Position = 0>
peer_message random_message(std::size_t tag)
{
    if constexpr (Position + 1 < std::variant_size_v<peer_message>) {
        if (tag != Position)
            return random_message<Position + 1>(tag);
    }
    std::variant_alternative_t<Position, peer_message> message;
    fill_random(message);
    return message;
}

} // namespace peridotward
