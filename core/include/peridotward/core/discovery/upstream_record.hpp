#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/time.hpp>

#include <cstdint>
#include <string>

namespace peridotward {

/// \brief What one upstream has published of itself.
struct upstream_record
{
    std::string id;
    std::string service;
    endpoint address;
    std::string domain;
    std::uint32_t slots = 1;
    bool draining = false;
    duration
        cold_start_remaining{}; ///< Rest of its cold start, when published.
    std::uint64_t start_id = 0; ///< Tells one start from another; 0: unknown.
    std::uint64_t revision = 0; ///< Of the publication.
};

} // namespace peridotward
