#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/core/budgets/cold_limit.hpp>
#include <peridotward/core/budgets/retry_budget_window.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Where an instance listens.
struct gateway_listeners
{
    endpoint callers;
    endpoint ready;
    endpoint directory;
    endpoint control; ///< State dump, metrics, and what other instances ask.
    endpoint metrics; ///< The same, at a port that does not change.
    endpoint peers;   ///< UDP, between instances.

    bool operator==(const gateway_listeners&) const = default;
};

/// \brief What an instance of the gateway is told at its start.
struct gateway_settings
{
    std::string id;
    std::string domain;
    std::string region;
    std::uint32_t capacity = 0; ///< Of the machine, in thousandths of a core.
    gateway_listeners listen;
    std::vector<endpoint> seeds; ///< Peers' addresses of some instances.
    endpoint store;              ///< Where configuration and upstreams stand.

    retry_bounds repeats;
    cold_bounds cold;
    /// From the stop signal to the kill.
    duration grace = seconds{6};
    /// Longest time for which callers keep a directory answer.
    seconds directory_ttl{1};
};

/// \returns The settings in `text` (JSON with comments), or `config_invalid`
/// with path and value.
[[nodiscard]] result<gateway_settings>
parse_gateway_settings(std::string_view text);

/// \returns The names of the settings that differ, for a log line.
[[nodiscard]] std::string
changed_settings(const gateway_settings& from, const gateway_settings& to);

/// \returns Whether `to` may be put in force without a restart: who the
/// instance is, where it listens and where the store is are the same.
[[nodiscard]] bool
may_reload(const gateway_settings& from, const gateway_settings& to);

/// \returns The settings in the file `path`.
[[nodiscard]] result<gateway_settings>
load_gateway_settings(const std::string& path);

} // namespace peridotward
