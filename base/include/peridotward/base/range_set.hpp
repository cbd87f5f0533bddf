#pragma once

#include <peridotward/base/key_range.hpp>

#include <vector>

namespace peridotward {

/// \brief Set of keys kept as sorted, disjoint, non-adjacent ranges.
class range_set
{
public:
    /// \brief Adds `range` unless it overlaps the set.
    ///
    /// \returns True; false, with the set unchanged, if `range` overlaps the
    /// set or is empty.
    bool add(key_range range);

    /// \returns Whether any key of `range` is in the set.
    [[nodiscard]] bool overlaps(key_range range) const noexcept;

    /// \returns The ranges of `within` that the set lacks, in ascending order.
    [[nodiscard]] std::vector<key_range> missing(key_range within) const;

    /// \returns The number of keys in the set.
    [[nodiscard]] std::uint64_t size() const noexcept;

    /// \brief Removes all ranges; keeps the allocated memory.
    void clear() noexcept { ranges_.clear(); }

    /// \brief Allocates memory for `count` ranges.
    void reserve(std::size_t count) { ranges_.reserve(count); }

    [[nodiscard]] const std::vector<key_range>& ranges() const noexcept
    {
        return ranges_;
    }

private:
    std::vector<key_range> ranges_;
};

} // namespace peridotward
