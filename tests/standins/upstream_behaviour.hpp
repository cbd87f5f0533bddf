#pragma once

#include "http_standin.hpp"

#include <peridotward/base/json.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <array>
#include <string>

namespace peridotward::testing {

/// How a stand-in spoils the contents of a search's answer.
enum class body_fault : std::uint8_t
{
    none,
    wrong_snapshot, ///< Of the next snapshot.
    wrong_range,    ///< Of a range one key shorter.
    wrong_request,  ///< Under another request's id.
    wrong_count,    ///< Declares one record more.
    previous,       ///< The body of the answer before, as if crossed.
    garbage,        ///< Not JSON.
};

} // namespace peridotward::testing

namespace peridotward {

template<>
struct name_table<testing::body_fault>
{
    using fault = testing::body_fault;
    static constexpr std::array entries{
        std::pair{fault::none, std::string_view{"none"}},
        std::pair{fault::wrong_snapshot, std::string_view{"wrong_snapshot"}},
        std::pair{fault::wrong_range, std::string_view{"wrong_range"}},
        std::pair{fault::wrong_request, std::string_view{"wrong_request"}},
        std::pair{fault::wrong_count, std::string_view{"wrong_count"}},
        std::pair{fault::previous, std::string_view{"previous"}},
        std::pair{fault::garbage, std::string_view{"garbage"}},
    };
};

} // namespace peridotward

namespace peridotward::testing {

/// What a test sets on one upstream.
struct upstream_behaviour
{
    upstream_phase phase = upstream_phase::warm;
    upstream_phase reported =
        upstream_phase::unknown; ///< Unless unknown, a lie.
    snapshot_range snapshots{1, 1};
    double service_ms = 4;
    double straggler_share = 0;
    double straggler_factor = 20;
    double warm_after_ms = 0;       ///< Ends a cold start; 0 for never.
    double warm_after_requests = 0; ///< Ends a cold start; 0 for never.
    bool shed = false;
    bool down = false;      ///< Closes every connection.
    bool forbidden = false; ///< Any request is a violation.
    wire_fault fault;
    body_fault body = body_fault::none;
    double fault_share = 1; ///< Share of answers that `fault` and `body` spoil.

    /// Takes the members of `change`.
    /// \throws invalid_document on an unknown member or a wrong value.
    void apply(const json& change, const std::string& name);
};

} // namespace peridotward::testing
