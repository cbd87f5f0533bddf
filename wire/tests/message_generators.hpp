#pragma once

#include "message_fields.hpp"

#include <peridotward/core/membership/peer_message.hpp>

#include <rapidcheck.h>

#include <string>
#include <type_traits>

namespace peridotward {

template<class Value>
void fill(Value& value);

template<class Element>
void fill(std::vector<Element>& list)
{
    list.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (auto& element : list)
        fill(element);
}

inline void fill(key_range& range)
{
    const auto keys = *rc::gen::pair(
        rc::gen::arbitrary<record_key>(), rc::gen::arbitrary<record_key>());
    range = {
        std::min(keys.first, keys.second), std::max(keys.first, keys.second)};
}

inline void fill(endpoint& address)
{
    address = {
        "127.33." + std::to_string(*rc::gen::inRange(0, 256)) + ".1",
        *rc::gen::inRange<std::uint16_t>(1, 65535)};
}

/// Draws every member of a message.
template<class Value>
void fill(Value& value)
{
    if constexpr (described<Value>)
        std::apply(
            [&](const auto&... field) { (fill(value.*field.member), ...); },
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

/// \returns A message of the type at `tag` with members drawn at random.
template<std::size_t Position = 0>
peer_message any_message(std::size_t tag)
{
    if constexpr (Position + 1 < std::variant_size_v<peer_message>) {
        if (tag != Position)
            return any_message<Position + 1>(tag);
    }
    std::variant_alternative_t<Position, peer_message> message;
    fill(message);
    return message;
}

} // namespace peridotward
