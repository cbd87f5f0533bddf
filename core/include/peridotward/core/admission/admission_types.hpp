#pragma once

#include <peridotward/base/error_kind.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <cstdint>
#include <vector>

namespace peridotward {

/// \brief One query that asks for admission.
struct admission_request
{
    std::uint64_t id = 0; ///< Unique among those waiting or running.
    caller_priority priority = caller_priority::normal;
    time_point arrived;
    time_point deadline;
};

/// \brief The final answer to a query that was not admitted.
struct admission_refusal
{
    std::uint64_t id = 0;
    error_kind reason = error_kind::overloaded;
    duration retry_after{};
};

/// \brief What follows from an arrival, an end or the passing of time.
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
