#pragma once

#include <peridotward/config/bundle.hpp>

#include <memory>
#include <string>

namespace peridotward::query_test {

/// Dimensions of a test bundle with one search over shards of equal size.
struct search_shape
{
    std::uint32_t shards = 25;
    std::uint32_t replicas = 3;
    std::uint32_t slots = 4;
    std::uint64_t keys_per_shard = 100;
};

/// \returns A bundle with one search. Replica `r` of each shard is in domain
/// `r`, and the upstreams of a shard have consecutive indices.
inline std::shared_ptr<bundle> make_search_bundle(const search_shape& shape)
{
    auto built = std::make_shared<bundle>();
    built->version = 1;
    for (std::uint32_t r = 0; r < shape.replicas; ++r)
        built->domains.push_back({"domain-" + std::to_string(r), "region"});
    shard_map map;
    map.id = "map";
    map.from_snapshot = 1;
    map.key_space = shape.shards * shape.keys_per_shard;
    for (std::uint32_t s = 0; s < shape.shards; ++s) {
        service shard_service;
        shard_service.id = "shard-" + std::to_string(s);
        shard_service.slots = shape.slots;
        for (std::uint32_t r = 0; r < shape.replicas; ++r) {
            const auto position =
                static_cast<std::uint32_t>(built->upstreams.size());
            shard_service.upstreams.push_back(upstream_index{position});
            upstream replica;
            replica.id = shard_service.id + "-" + std::to_string(r);
            replica.service = service_index{s};
            replica.domain = domain_index{r};
            built->upstreams.push_back(replica);
        }
        built->services.push_back(std::move(shard_service));
        map.shards.push_back(
            {service_index{s},
             {s * shape.keys_per_shard, (s + 1) * shape.keys_per_shard}});
    }
    search definition;
    definition.id = "search";
    definition.map = map.id;
    definition.range = {0, map.key_space};
    built->maps.push_back(std::move(map));
    built->searches.push_back(std::move(definition));
    return built;
}

} // namespace peridotward::query_test
