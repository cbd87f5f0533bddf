#pragma once

#include "http_standin.hpp"

#include <peridotward/base/json.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <array>
#include <string>

namespace peridotward::testing {

/// A fault that a stand-in applies to the body of a search response.
enum class body_fault : std::uint8_t
{
    none,
    wrong_snapshot, ///< States the next snapshot.
    wrong_range,    ///< States a range that is one key shorter.
    wrong_request,  ///< States the id of another request.
    wrong_count,    ///< States one record more than the body holds.
    previous,       ///< The body of the previous search response.
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

/// The behaviour of one upstream, as set by a test.
struct upstream_behaviour
{
    upstream_phase phase = upstream_phase::warm;
    upstream_phase reported =
        upstream_phase::unknown; ///< Reported instead of `phase` unless
                                 ///< unknown.
    snapshot_range snapshots{1, 1};
    double service_ms = 4;
    double straggler_share = 0;
    double straggler_factor = 20;
    double warm_after_ms = 0; ///< Duration of a cold start; 0 for no limit.
    double warm_after_requests = 0; ///< Completed requests that end a cold
                                    ///< start; 0 for no limit.
    bool shed = false;              ///< Refuses each request with status 503.
    bool down = false;              ///< Closes every connection.
    bool forbidden = false;         ///< Each request counts as a violation.
    wire_fault fault;
    body_fault body = body_fault::none;
    double fault_share = 1; ///< Share of responses with `fault` and `body`.

    /// Sets the members that `change` holds; `name` is for error messages.
    /// \throws invalid_document on an unknown member or a wrong value.
    void apply(const json& change, const std::string& name);
};

} // namespace peridotward::testing
