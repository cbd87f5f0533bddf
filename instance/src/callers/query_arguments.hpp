#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/base/json.hpp>

#include <string>

namespace peridotward {

/// Arguments of one query, from the body of its request.
struct query_arguments
{
    double minimum_coverage = 0; ///< In [0, 1]; below it, the query fails.
    std::string criteria;        ///< JSON text.
};

/// \returns The arguments in `body`, or `bad_request` when one is invalid.
[[nodiscard]] result<query_arguments> parse_query_arguments(const json& body);

} // namespace peridotward
