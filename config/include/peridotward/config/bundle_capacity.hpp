#pragma once

#include <peridotward/config/bundle.hpp>

#include <cstdint>

namespace peridotward {

/// \returns The number of upstreams of a service that may take work.
[[nodiscard]] std::uint64_t
live_replicas(const bundle& in, service_index index);

/// \returns The requests that a search can have in flight over all its
/// shards' upstreams that take work, at the newest map.
[[nodiscard]] std::uint64_t
slots_of_search(const bundle& in, const search& wanted);

} // namespace peridotward
