#pragma once

#include <peridotward/base/json.hpp>

#include <cstdint>
#include <string>

namespace peridotward::testing {

/// Size of a sample bundle; each service serves one shard.
struct sample_size
{
    int services = 4;
    int replicas = 3;
    int instances = 8;
    int domains = 3;
};

inline std::string numbered(const char* name, int number)
{
    return std::string{name} + "-" + std::to_string(number);
}

inline json sample_services(const sample_size& size)
{
    json services = json::array();
    for (int i = 0; i < size.services; ++i)
        services.push_back(
            {{"id", numbered("certify", i)},
             {"kind", "search"},
             {"slots", 4},
             {"connections", 35},
             {"cold_slots", 1},
             {"connect_cost_ms", 6},
             {"cold_ramp_ms", 5000}});
    return services;
}

inline json sample_upstreams(const sample_size& size)
{
    json upstreams = json::array();
    for (int i = 0; i < size.services * size.replicas; ++i)
        upstreams.push_back(
            {{"id",
              numbered("certify", i / size.replicas) + "-" +
                  std::to_string(i % size.replicas)},
             {"service", numbered("certify", i / size.replicas)},
             {"domain", numbered("domain", i % size.domains)},
             {"address",
              "127.34." + std::to_string(i / 250) + "." +
                  std::to_string(i % 250 + 1) + ":9000"},
             {"state", "in"}});
    return upstreams;
}

inline json sample_map(const sample_size& size)
{
    constexpr std::uint64_t keys_of_shard = 1000;
    json shards = json::array();
    for (int i = 0; i < size.services; ++i) {
        const auto first = static_cast<std::uint64_t>(i) * keys_of_shard;
        shards.push_back(
            {{"service", numbered("certify", i)},
             {"range", {first, first + keys_of_shard}}});
    }
    return {
        {"id", "exposure"},
        {"from_snapshot", 0U},
        {"key_space",
         static_cast<std::uint64_t>(size.services) * keys_of_shard},
        {"shards", std::move(shards)}};
}

/// A valid bundle of the given size.
inline json sample_bundle(std::uint64_t version, const sample_size& size = {})
{
    json domains = json::array();
    for (int i = 0; i < size.domains; ++i)
        domains.push_back(
            {{"id", numbered("domain", i)},
             {"region", "mombasa"},
             {"state", "in"}});
    json instances = json::array();
    for (int i = 0; i < size.instances; ++i)
        instances.push_back(
            {{"id", numbered("pw", i)},
             {"domain", numbered("domain", i % size.domains)}});
    return {
        {"version", version},
        {"deployment", "pwani"},
        {"domains", std::move(domains)},
        {"seats", std::move(instances)},
        {"services", sample_services(size)},
        {"upstreams", sample_upstreams(size)},
        {"shard_maps", json::array({sample_map(size)})},
        {"searches",
         json::array(
             {{{"id", "exposure"},
               {"map", "exposure"},
               {"policy", {{"prefer", "coverage"}}}}})}};
}

/// The largest size that the fleet is designed for.
inline constexpr sample_size design_size{1067, 3, 740, 5};

} // namespace peridotward::testing
