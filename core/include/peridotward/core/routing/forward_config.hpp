#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief What may be repeated of a forwarded request.
enum class retry_safety : std::uint8_t
{
    idempotent,   ///< May run any number of times.
    at_most_once, ///< May reach one upstream only, unless it says "not run".
};

template<>
struct name_table<retry_safety>
{
    static constexpr std::array entries{
        std::pair{retry_safety::idempotent, std::string_view{"idempotent"}},
        std::pair{retry_safety::at_most_once, std::string_view{"at_most_once"}},
    };
};

/// \brief Position of a service in a `forward_config`.
using forward_service_index = std::uint32_t;

/// \brief One service of a weighted route.
struct weighted_service
{
    forward_service_index service = 0;
    double weight = 1; ///< Share of the requests, relative to the others.
};

/// \brief What happens to requests of one host below one path prefix.
struct forward_route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    retry_safety safety = retry_safety::idempotent;
    duration timeout{};             ///< Longest time to keep a caller waiting.
    duration target_latency{};      ///< An answer within it has its full value.
    std::int32_t priority = 0;      ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1; ///< Upstreams for each part of a request.

    /// Services that share the requests; empty for a search over shards.
    std::vector<weighted_service> targets;

    /// Services that each answer a part of every request.
    std::vector<forward_service_index> shards;
    std::uint32_t top_records = 0; ///< Records in the merged answer.
    double min_shard_share = 1.0;  ///< Below it an answer is a failure.

    [[nodiscard]] bool scatters() const noexcept { return !shards.empty(); }
};

/// \brief One set of equal upstreams.
struct forward_service
{
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< Of one upstream, over all instances.
    duration cold_time{};              ///< From an upstream's start.
    double cold_rate = 0; ///< Requests a second in a cold start; 0: no limit.
};

/// \brief What a caller's connection may ask for.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    duration header_timeout = milliseconds{3000};
    duration idle_timeout = milliseconds{15000};
};

/// \brief One version of all routes, immutable once built.
class forward_config
{
public:
    std::uint64_t version = 0;
    std::vector<forward_route> routes;
    std::vector<forward_service> services;
    caller_limits limits;

    /// \brief Builds the index that `find` uses; call it once, last.
    void build_index();

    /// \param host Without port, in lower case.
    /// \param path Without query.
    /// \returns The route of `host` with the longest matching prefix, or null.
    [[nodiscard]] const forward_route*
    find(std::string_view host, std::string_view path) const;

private:
    std::unordered_map<std::string, std::uint32_t> by_prefix_;
};

using forward_config_ptr = std::shared_ptr<const forward_config>;

} // namespace peridotward
