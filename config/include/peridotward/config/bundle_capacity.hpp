#pragma once

#include <peridotward/config/bundle.hpp>

#include <cstdint>

namespace peridotward {

/// \returns The number of upstreams of a service that may get new requests.
[[nodiscard]] std::uint64_t
live_replicas(const bundle& in, service_index index);

/// \returns The total slots of the upstreams that may get new requests, over
/// all shards of a search in its newest shard map.
[[nodiscard]] std::uint64_t
slots_of_search(const bundle& in, const search& definition);

} // namespace peridotward
