#pragma once

#include <peridotward/base/json.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <string_view>

namespace peridotward {

/// \brief Fields that an answer must match to be merged.
struct expected_answer
{
    std::string_view request; ///< Id of the attempt, as sent to the upstream.
    std::string_view service;
    key_range range;
    snapshot_id snapshot = 0;
};

/// \brief Checks the answer of an upstream against the attempt it belongs to.
///
/// \returns `answered` when `body` is the complete answer to the attempt,
/// otherwise the outcome that names the first mismatch. Records must be sorted
/// by key without duplicates, lie within the range, and match the declared
/// count.
[[nodiscard]] attempt_outcome
check_answer(const json& body, const expected_answer& expected);

} // namespace peridotward
