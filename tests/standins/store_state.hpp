#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward::testing {

/// One answer of the platform's store.
struct store_answer
{
    unsigned status = 200;
    std::string body;
};

/// A write that the store lost.
struct lost_write
{
    std::string key;
    std::optional<std::string> value; ///< Nothing for a removal.
    std::uint64_t copy_revision = 0;  ///< Of the copy that lacks it.
};

/// The items and the change history of a stand-in for the platform's store,
/// without input and output.
class store_state
{
public:
    /// Max size of the change history; older changes are dropped.
    static constexpr std::size_t max_history_bytes = 512U << 20U;
    /// Max size of the values in a page, if it has more than one item.
    static constexpr std::size_t max_page_bytes = 1'000'000;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Discards the change history: a watch from an older revision gets 410.
    void compact();

    /// Stores a copy of all items, which `restore_copy` returns to.
    void take_copy();

    /// Loses all changes since `take_copy`. The revisions of the lost changes
    /// are given out again, and a new era begins.
    /// \returns The last write of each key that was lost.
    /// \throws std::logic_error when there is no copy.
    std::vector<lost_write> restore_copy();

    /// Repeats a write, unless its key was written again meanwhile.
    void write_again(const lost_write& write);

    /// \param items_per_page The answer holds at most so many items.
    [[nodiscard]] store_answer
    list(const std::string& after_key, std::size_t items_per_page) const;

    /// \returns The changes after `revision`, 410 if they are not known, or
    /// nothing while there are none, so that the watch has to wait.
    [[nodiscard]] std::optional<store_answer>
    changes_after(std::uint64_t revision) const;

    /// \returns The answer to a watch whose waiting time is over.
    [[nodiscard]] store_answer no_changes() const;

    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
    [[nodiscard]] std::uint64_t era() const noexcept { return era_; }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
        /// As in the answers, which many calls repeat.
        std::shared_ptr<const std::string> text;
    };
    using item_map = std::map<std::string, item>;
    struct copy
    {
        item_map items;
        std::uint64_t revision;
    };

    void record(const std::string& key, item& change);

    item_map items_;
    /// Events, by revision.
    std::map<std::uint64_t, std::shared_ptr<const std::string>> history_;
    std::size_t history_bytes_ = 0;
    std::optional<copy> copy_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_revision_ = 0;
    std::uint64_t era_ = 1;
};

/// \returns The value of the parameter `key` in the query of `target`, with
/// percent-encoding removed; empty if it is missing.
[[nodiscard]] std::string
query_parameter(std::string_view target, std::string_view key);

/// \returns The same as a number; 0 if it is missing.
[[nodiscard]] std::uint64_t
query_number(std::string_view target, std::string_view key);

} // namespace peridotward::testing
