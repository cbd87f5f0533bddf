#pragma once

#include <peridotward/base/json.hpp>

#include <string>
#include <vector>

namespace peridotward::testing {

/// Reads a JSON file.
/// \throws std::runtime_error with the file's name when it cannot be read.
/// \throws nlohmann::json::exception when it is not valid JSON.
[[nodiscard]] json load_json(const std::string& path);

/// \returns The sum of `counter` over all upstreams in `ledger`.
[[nodiscard]] std::uint64_t
upstream_total(const json& ledger, const char* counter);

/// Combines the results of callers with the counters of the upstreams.
///
/// \param load Report of `peridotctl load`.
/// \param ledger Answer of the stand-ins to GET /ledger.
/// \param ran Answer of the stand-ins to POST /ran.
[[nodiscard]] json
join_figures(const json& load, const json& ledger, const json& ran);

/// \returns The counters of `figures` that must be 0 and are not.
[[nodiscard]] std::vector<std::string> violated_counters(const json& figures);

} // namespace peridotward::testing
