#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/index.hpp>
#include <peridotward/base/key_range.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotward {

using domain_index = table_index<struct domain_tag>;
using instance_index = table_index<struct instance_tag>;
using service_index = table_index<struct service_tag>;
using upstream_index = table_index<struct upstream_tag>;
using search_index = table_index<struct search_tag>;
using class_index = table_index<struct class_tag>;

/// \brief Version number of the search index; a higher one is newer.
using snapshot_id = std::uint64_t;

/// \brief Version number of a bundle; a higher one is newer.
using bundle_version = std::uint64_t;

/// \brief Whether operators allow new requests to an upstream or domain.
enum class admin_state : std::uint8_t
{
    in,
    out,
};

template<>
struct name_table<admin_state>
{
    static constexpr std::array entries{
        std::pair{admin_state::in, std::string_view{"in"}},
        std::pair{admin_state::out, std::string_view{"out"}},
    };
};

/// \brief Kind of a service.
enum class service_kind : std::uint8_t
{
    search,  ///< Serves one shard of a search.
    records, ///< Serves single records; requests are idempotent.
    entries, ///< Appends single entries; requests are not idempotent.
};

template<>
struct name_table<service_kind>
{
    static constexpr std::array entries{
        std::pair{service_kind::search, std::string_view{"search"}},
        std::pair{service_kind::records, std::string_view{"records"}},
        std::pair{service_kind::entries, std::string_view{"entries"}},
    };
};

/// \brief Which of coverage and latency a search prefers.
enum class search_preference : std::uint8_t
{
    coverage, ///< Use the whole deadline to get missing ranges.
    latency,  ///< Answer as soon as the coverage target is met.
};

template<>
struct name_table<search_preference>
{
    static constexpr std::array entries{
        std::pair{search_preference::coverage, std::string_view{"coverage"}},
        std::pair{search_preference::latency, std::string_view{"latency"}},
    };
};

/// \brief Order in which callers are served under overload.
enum class caller_priority : std::uint8_t
{
    urgent,
    normal,
    bulk,
};

template<>
struct name_table<caller_priority>
{
    static constexpr std::array entries{
        std::pair{caller_priority::urgent, std::string_view{"urgent"}},
        std::pair{caller_priority::normal, std::string_view{"normal"}},
        std::pair{caller_priority::bulk, std::string_view{"bulk"}},
    };
};

struct failure_domain
{
    std::string id;
    std::string region;
    admin_state state = admin_state::in;
    std::uint32_t max_in_flight = 0; ///< 0 for no limit.
};

/// \brief An instance that the bundle defines; one process at a time may use
/// its id.
struct configured_instance
{
    std::string id;
    domain_index domain;
};

/// \brief A set of upstreams that serve the same data.
struct service
{
    std::string id;
    service_kind kind = service_kind::search;
    std::uint32_t slots = 1;       ///< Max requests in flight per upstream.
    std::uint32_t connections = 1; ///< Max connections per upstream.
    std::uint32_t cold_slots = 1;  ///< Slots of an upstream while cold.
    milliseconds connect_cost{1};  ///< Min interval between new connections.
    milliseconds cold_ramp{10000}; ///< Min time from cold to all slots.
    std::vector<upstream_index> upstreams;
};

struct upstream
{
    std::string id;
    service_index service;
    domain_index domain;
    endpoint address;
    admin_state state = admin_state::in;
};

/// \brief A range of a key space and the service that serves it.
struct shard
{
    service_index service;
    key_range range;
};

/// \brief Division of a key space into shards, valid from `from_snapshot` on.
struct shard_map
{
    std::string id;
    snapshot_id from_snapshot = 0;
    std::uint64_t key_space = 0; ///< Keys are in `[0, key_space)`.
    std::vector<shard> shards;   ///< Sorted by range, without overlaps.
};

struct search_policy
{
    search_preference prefer = search_preference::coverage;
    double coverage_target = 1.0;
    milliseconds default_deadline{1000};
    milliseconds max_deadline{10000};
    std::uint32_t max_queued = 256; ///< Queued queries per instance.
};

struct search
{
    std::string id;
    std::string map; ///< Id of its shard maps.
    key_range range;
    search_policy policy;
};

struct caller_class
{
    std::string id;
    caller_priority priority = caller_priority::normal;
};

} // namespace peridotward
