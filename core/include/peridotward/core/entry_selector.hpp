#pragma once

#include <peridotward/base/endpoint.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief An instance that callers might use.
struct entry_candidate
{
    std::string id;
    std::string domain;
    endpoint callers;
    bool usable = false; ///< Alive, ready and not leaving.
};

/// \brief Orders the usable instances for one caller: those of the caller's
/// failure domain first, each group by rendezvous hashing of the caller, so
/// that callers spread evenly and a caller keeps its order while others come
/// and go.
///
/// \param caller_domain May be empty when it is not known.
[[nodiscard]] std::vector<entry_candidate> select_entries(
    std::vector<entry_candidate> candidates,
    std::string_view caller,
    std::string_view caller_domain);

} // namespace peridotward
