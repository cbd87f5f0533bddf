#pragma once

#include <peridotward/base/json.hpp>

#include <string>

namespace peridotward::ctl {

/// \returns `document` as indented text: one line for each member of an object
/// and for each element of an array of flat objects.
[[nodiscard]] std::string render(const json& document);

} // namespace peridotward::ctl
