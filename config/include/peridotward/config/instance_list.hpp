#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/names.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief What the published list says of a machine.
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

/// \brief One of our instances in the published list.
struct listed_instance
{
    std::string id;
    std::string domain;
    endpoint callers; ///< Where callers connect.
    endpoint peers;   ///< Where other instances connect.
    listed_state state = listed_state::live;
};

/// \brief One upstream in the published list.
struct listed_upstream
{
    std::string id;
    listed_state state = listed_state::live;
};

/// \brief The platform's list of machines; it lags.
struct instance_list
{
    std::uint64_t version = 0;
    std::vector<listed_instance> instances;
    std::vector<listed_upstream> upstreams;
};

/// \returns The list in `text`, or `config_invalid` with path and value.
[[nodiscard]] result<instance_list> parse_instance_list(std::string_view text);

} // namespace peridotward
