#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/core/accounts/account_directory.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward {

class pinned_route;

/// \brief Whether a forwarded request can be retried and hedged.
enum class retry_safety : std::uint8_t
{
    idempotent,   ///< Can run any number of times.
    at_most_once, ///< Can be sent to another upstream only if the previous one
                  ///< states that it did not run the request.
};

template<>
struct name_table<retry_safety>
{
    static constexpr std::array entries{
        std::pair{retry_safety::idempotent, std::string_view{"idempotent"}},
        std::pair{retry_safety::at_most_once, std::string_view{"at_most_once"}},
    };
};

/// \brief Index of a service in `forward_config::services`.
using forward_service_index = std::uint32_t;

/// \brief One service of a weighted route.
struct weighted_service
{
    forward_service_index service = 0;
    double weight = 1; ///< Relative to the other services of the route.
};

/// \brief How requests for one host and path prefix are forwarded.
struct forward_route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    retry_safety safety = retry_safety::idempotent;
    duration timeout{};        ///< Maximum time until the answer to the caller.
    duration target_latency{}; ///< An answer within it has its full value.
    std::int32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1; ///< Upstreams tried for each part.
    /// Whether requests need no key of a client account.
    bool open_to_all = false;

    /// Services among which requests are divided; empty for a search over
    /// shards.
    std::vector<weighted_service> targets;

    /// Services that each answer one part of every request; empty for a route
    /// without shards.
    std::vector<forward_service_index> shards;
    std::uint32_t top_records = 0; ///< Maximum records in the merged answer.
    /// Minimum fraction of answered shards; with less the request fails.
    double min_shard_share = 1.0;

    /// \returns Whether each request is sent to all shards.
    [[nodiscard]] bool scatters() const noexcept { return !shards.empty(); }
};

/// \brief One set of interchangeable upstreams.
struct forward_service
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Per upstream, over all instances.
    duration cold_time{}; ///< Of a cold start, from the upstream's start.
    /// Requests per second to an upstream in its cold start; 0 for no limit.
    double cold_rate = 0;
};

/// \brief Limits on the connections and requests of callers.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    duration header_timeout = milliseconds{3000};
    duration idle_timeout = milliseconds{15000};
};

/// \brief One version of all routes and services; immutable once built.
class forward_config
{
public:
    std::uint64_t version = 0;
    std::vector<forward_route> routes;
    std::vector<forward_service> services;
    caller_limits limits;
    account_directory accounts; ///< Empty: requests need no key.

    /// \brief Builds the index for `pinned_route::find`. Must be called once,
    /// after `routes` is complete.
    void build_index();

private:
    friend class pinned_route;

    /// \returns The index in `routes` of the route of `host` with the longest
    /// matching prefix, or nothing.
    [[nodiscard]] std::optional<std::size_t>
    find(std::string_view host, std::string_view path) const;

    /// \returns A hash of all that decides how requests of `route`, one of
    /// `routes`, are handled.
    [[nodiscard]] std::uint64_t digest_of(const forward_route& route) const;

    std::unordered_map<std::string, std::uint32_t> by_prefix_;
};

using forward_config_ptr = std::shared_ptr<const forward_config>;

/// A client account, which keeps the configuration that owns it; may be null.
using client_account_ptr = std::shared_ptr<const client_account>;

} // namespace peridotward
