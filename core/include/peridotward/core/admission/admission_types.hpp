#pragma once

#include <peridotward/base/error_kind.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <cstdint>
#include <vector>

namespace peridotward {

/// \brief A query that requests admission.
struct admission_request
{
    std::uint64_t id = 0; ///< Unique among the queued and running queries.
    caller_priority priority = caller_priority::normal;
    time_point arrived;
    time_point deadline;
};

/// \brief Refusal of a query.
struct admission_refusal
{
    std::uint64_t id = 0;
    error_kind reason = error_kind::overloaded;
    duration retry_after{};
};

/// \brief Queries to start and to refuse after an event or a timeout.
struct admission_actions
{
    std::vector<std::uint64_t> start;
    std::vector<admission_refusal> refuse;

    void clear() noexcept
    {
        start.clear();
        refuse.clear();
    }
};

} // namespace peridotward
