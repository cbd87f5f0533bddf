#pragma once

#include "../data/records.hpp"
#include "upstream_behaviour.hpp"

#include <peridotward/base/json.hpp>
#include <peridotward/base/key_range.hpp>

#include <string>

namespace peridotward::testing {

/// The members of a request to /v1/search.
struct search_request
{
    std::string request;
    std::string service;
    snapshot_id snapshot = 0;
    key_range range;
    double deadline_ms = 0;
    json criteria;
};

/// Parses the body of a request to /v1/search; `service` stays empty.
/// \throws json::exception when a member is missing or has a wrong type.
[[nodiscard]] search_request parse_search_request(const json& document);

/// \returns The body of the response, corrupted by `fault`.
[[nodiscard]] std::string render_search_answer(
    const record_set& records, search_request query, body_fault fault);

} // namespace peridotward::testing
