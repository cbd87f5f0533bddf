#pragma once

#include <peridotward/base/json.hpp>

#include <string>

namespace peridotward::ctl {

/// \returns `document` as indented lines for reading: an object's members
/// one a line, and each element of an array of flat objects on one line.
[[nodiscard]] std::string render(const json& document);

} // namespace peridotward::ctl
