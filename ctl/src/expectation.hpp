#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/base/key_range.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace peridotward::ctl {

/// One search of a load run and the records that exist for it.
struct expectation
{
    struct entry
    {
        record_key key;
        std::uint64_t since; ///< First snapshot that holds the record.
    };

    std::string search;
    json criteria;
    std::vector<entry> expected; ///< Sorted by key.
};

/// Reads one JSON object a line: search, criteria, expected [[key, since]].
[[nodiscard]] result<std::vector<expectation>>
load_expectations(const std::filesystem::path& path);

/// \returns Whether `answer` holds exactly the records that its snapshot and
/// its stated coverage promise.
[[nodiscard]] bool
answer_is_right(const expectation& asked, const json& answer);

} // namespace peridotward::ctl
