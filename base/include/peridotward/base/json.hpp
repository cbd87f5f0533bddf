#pragma once

#include <peridotward/base/error.hpp>

#include <nlohmann/json.hpp>

#include <string_view>

namespace peridotward {

using json = nlohmann::json;

inline constexpr int max_json_depth = 32;

/// \brief Parses JSON; comments are allowed when `comments` is set.
///
/// \returns The value, or `kind` with line and column when the text is not
/// JSON, is nested deeper than `max_json_depth` or repeats a key.
[[nodiscard]] result<json> parse_json(
    std::string_view text,
    error_kind kind = error_kind::bad_request,
    bool comments = false);

} // namespace peridotward
