#pragma once

#include <peridotward/base/json.hpp>
#include <peridotward/base/key_range.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward::testing {

/// One generated record of either test deployment.
struct test_record
{
    record_key key = 0;
    snapshot_id since = 0; ///< First snapshot that holds the record.
    std::string subject;   ///< Usual search criterion: a panel or a vessel.
    std::string kind;
    std::string place;
    std::string text;

    [[nodiscard]] json to_json() const;
};

/// Generated records of one deployment; equal parameters give equal records.
class record_set
{
public:
    record_set(
        std::string_view deployment,
        std::uint64_t seed,
        std::uint64_t key_space,
        std::size_t count);

    [[nodiscard]] const std::vector<test_record>& all() const noexcept
    {
        return records_;
    }
    [[nodiscard]] const std::vector<std::string>& subjects() const noexcept
    {
        return subjects_;
    }

    /// Reference implementation of a search.
    ///
    /// \returns The records in `range` that `snapshot` holds and whose fields
    /// equal those of `criteria`, sorted by key.
    [[nodiscard]] std::vector<const test_record*>
    find(key_range range, snapshot_id snapshot, const json& criteria) const;

    /// \returns The record with `key`, or a null pointer.
    [[nodiscard]] const test_record* at(record_key key) const;

private:
    std::vector<test_record> records_; ///< Sorted by key.
    std::vector<std::string> subjects_;
    std::unordered_map<std::string, std::vector<std::size_t>> by_subject_;
};

} // namespace peridotward::testing
