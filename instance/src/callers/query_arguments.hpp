#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/base/json.hpp>

#include <string>

namespace peridotward {

/// What a caller asks of one search.
struct query_arguments
{
    double minimum_coverage = 0; ///< In [0, 1]; below it, no answer.
    std::string criteria;        ///< JSON text.
};

/// \returns The arguments in `body`, or `bad_request`.
[[nodiscard]] result<query_arguments> parse_query_arguments(const json& body);

} // namespace peridotward
