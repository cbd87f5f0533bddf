#pragma once

#include <peridotward/base/error.hpp>

#include <nlohmann/json.hpp>

#include <string_view>

namespace peridotward {

using json = nlohmann::json;

/// \brief Maximum nesting depth of a JSON text.
inline constexpr int max_json_depth = 32;

/// \brief Parses a JSON text.
///
/// \param kind Kind of the error that is returned for invalid text.
/// \param comments Whether comments are allowed.
///
/// \returns The value, or an error that names the problem if the text is not
/// JSON (with line and column), is nested deeper than `max_json_depth` or has
/// an object with a duplicate key.
[[nodiscard]] result<json> parse_json(
    std::string_view text,
    error_kind kind = error_kind::bad_request,
    bool comments = false);

} // namespace peridotward
