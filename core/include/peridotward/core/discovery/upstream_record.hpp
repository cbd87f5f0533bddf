#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/core/discovery/store_position.hpp>

#include <cstdint>
#include <string>

namespace peridotward {

/// \brief An upstream's publication in the store.
struct upstream_record
{
    std::string id;
    std::string service;
    endpoint address;
    std::string domain;
    std::uint32_t slots = 1;
    bool draining = false;
    duration cold_start_remaining{}; ///< Remaining cold start when published.
    std::uint64_t start_id = 0;      ///< Distinguishes restarts; 0 if unknown.
    store_position position;         ///< Of the publication.
};

} // namespace peridotward
