#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/core/accounts/quota_bounds.hpp>
#include <peridotward/core/admission/memory_budget.hpp>
#include <peridotward/core/budgets/cold_limit.hpp>
#include <peridotward/core/budgets/retry_budget_window.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Addresses on which an instance listens.
struct gateway_listeners
{
    endpoint callers;
    endpoint ready;
    endpoint directory;
    endpoint control; ///< State, metrics, requests of other instances.
    endpoint metrics; ///< The same, on a fixed port.
    endpoint peers;   ///< Membership gossip between instances (UDP).

    bool operator==(const gateway_listeners&) const = default;
};

/// \brief Settings of one instance of the gateway.
struct gateway_settings
{
    std::string id;
    std::string domain;
    std::string region;
    std::uint32_t capacity = 0; ///< Of the machine, in 1/1000 of a core.
    /// Limit of the process's memory, in MiB; 0 if none is stated.
    std::uint32_t memory_mb = 0;
    gateway_listeners listen;
    std::vector<endpoint> seeds; ///< Gossip addresses of some instances.
    endpoint store; ///< Key-value store of configuration and upstreams.

    retry_bounds retries;    ///< Budget of extra attempts, for the whole fleet.
    cold_bounds cold_starts; ///< Load limits of cold replicas.
    quota_bounds quotas;     ///< Tolerance of the accounts' quotas.
    /// Time between the stop signal and the kill.
    duration shutdown_grace = seconds{6};
    /// Max time for which callers cache a directory answer.
    seconds directory_ttl{1};

    /// \returns The memory for large answers, in bytes: a half of the limit.
    /// The rest is for the state of the fleet and of the connections.
    [[nodiscard]] std::size_t message_memory() const noexcept
    {
        return memory_mb == 0 ? memory_budget::default_capacity
                              : (std::size_t{memory_mb} << 20U) / 2;
    }

    /// \returns The memory for changes of the platform's store, in bytes: a
    /// sixteenth of the limit, but enough for the largest value (1 MiB) as JSON
    /// and decoded. Those of one answer, those kept for other instances and
    /// those on the way to them may each use so much.
    [[nodiscard]] std::size_t change_memory() const noexcept
    {
        constexpr std::size_t least = 4U << 20U;
        return std::max(message_memory() / 8, least);
    }
};

/// \returns The settings in `text` (JSON with comments), or `config_invalid`
/// with the path and value of the invalid setting.
[[nodiscard]] result<gateway_settings>
parse_gateway_settings(std::string_view text);

/// \returns The comma-separated names of the settings that differ, for a log
/// line.
[[nodiscard]] std::string
changed_settings(const gateway_settings& from, const gateway_settings& to);

/// \returns Whether `to` can be applied without a restart: instance, listeners
/// and store address are the same.
[[nodiscard]] bool
may_reload(const gateway_settings& from, const gateway_settings& to);

/// \returns The settings in the file `path`, `io_failed` if the file can't be
/// read, or `config_invalid`.
[[nodiscard]] result<gateway_settings>
load_gateway_settings(const std::string& path);

} // namespace peridotward
