#pragma once

#include <peridotward/base/error.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/base/key_range.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace peridotward::ctl {

/// One query of a load run and the records that match its criteria.
struct expectation
{
    struct expected_record
    {
        record_key key;
        std::uint64_t since; ///< First snapshot that holds the record.
    };

    std::string search;
    json criteria;
    std::vector<expected_record> expected; ///< Sorted by key.
};

/// Reads a file with one JSON object per line: {"search", "criteria",
/// "expected": [[key, since], ...]}.
[[nodiscard]] result<std::vector<expectation>>
load_expectations(const std::filesystem::path& path);

/// \returns Whether `answer` holds exactly the expected records that its
/// snapshot and stated coverage include.
[[nodiscard]] bool
answer_is_correct(const expectation& query, const json& answer);

} // namespace peridotward::ctl
