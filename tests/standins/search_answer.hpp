#pragma once

#include "../data/records.hpp"
#include "upstream_behaviour.hpp"

#include <peridotward/base/json.hpp>
#include <peridotward/base/key_range.hpp>

#include <string>

namespace peridotward::testing {

/// What one request to /v1/search asks.
struct search_question
{
    std::string request;
    std::string service;
    snapshot_id snapshot = 0;
    key_range range;
    double deadline_ms = 0;
    json criteria;
};

/// \throws json::exception when a member is missing or of another type.
[[nodiscard]] search_question read_search_question(const json& document);

/// \returns The body of the answer, spoiled by `fault`.
[[nodiscard]] std::string render_search_answer(
    const record_set& records, search_question wanted, body_fault fault);

} // namespace peridotward::testing
