#pragma once

#include <peridotward/base/json.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <string_view>

namespace peridotward {

/// \brief What an answer must match to be merged.
struct expected_answer
{
    std::string_view request; ///< Id of the attempt as sent.
    std::string_view service;
    key_range range;
    snapshot_id snapshot = 0;
};

/// \returns `answered` when `body` is the whole answer to the attempt, or
/// what is wrong with it. Records must be sorted by key, lie in the range and
/// be as many as the answer declares.
[[nodiscard]] attempt_outcome
check_answer(const json& body, const expected_answer& expected);

} // namespace peridotward
