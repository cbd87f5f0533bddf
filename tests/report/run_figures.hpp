#pragma once

#include <peridotward/base/json.hpp>

#include <string>
#include <vector>

namespace peridotward::testing {

/// Reads a JSON file.
/// \throws std::runtime_error with the file's name.
[[nodiscard]] json load_json(const std::string& path);

/// \returns Sum of `counter` over the ledgers of all upstreams.
[[nodiscard]] std::uint64_t total(const json& ledger, const char* counter);

/// Joins what callers saw with what reached the upstreams.
///
/// \param load Report of `peridotctl load`.
/// \param ledger Answer of the stand-ins to GET /ledger.
/// \param ran Answer of the stand-ins to POST /ran.
[[nodiscard]] json
join_figures(const json& load, const json& ledger, const json& ran);

/// \returns The counters of `figures` that must be 0 and are not.
[[nodiscard]] std::vector<std::string> broken_promises(const json& figures);

} // namespace peridotward::testing
