#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/names.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief State of an instance or upstream in the published list.
enum class listed_state : std::uint8_t
{
    live,
    leaving,
};

template<>
struct name_table<listed_state>
{
    static constexpr std::array entries{
        std::pair{listed_state::live, std::string_view{"live"}},
        std::pair{listed_state::leaving, std::string_view{"leaving"}},
    };
};

/// \brief One instance in the published list.
struct listed_instance
{
    std::string id;
    std::string domain;
    endpoint callers; ///< Address for callers.
    endpoint peers;   ///< Address for other instances.
    listed_state state = listed_state::live;
};

/// \brief One upstream in the published list.
struct listed_upstream
{
    std::string id;
    listed_state state = listed_state::live;
};

/// \brief The platform's list of instances and upstreams; it may be out of
/// date.
struct instance_list
{
    std::uint64_t version = 0;
    std::vector<listed_instance> instances;
    std::vector<listed_upstream> upstreams;
};

/// \returns The list in the JSON `text`, or `config_invalid` with the path and
/// value of the wrong member.
[[nodiscard]] result<instance_list> parse_instance_list(std::string_view text);

} // namespace peridotward
