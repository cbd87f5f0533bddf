#include <peridotward/base/range_set.hpp>

namespace peridotward {

namespace {

bool ends_before(key_range range, record_key key) noexcept
{
    return range.last < key;
}

} // namespace

bool range_set::add(key_range range)
{
    if (range.empty() || overlaps(range))
        return false;
    auto next = std::lower_bound(
        ranges_.begin(), ranges_.end(), range.first, ends_before);
    if (next != ranges_.end() && next->last == range.first) {
        next->last = range.last;
        const auto after = std::next(next);
        if (after != ranges_.end() && after->first == next->last) {
            next->last = after->last;
            ranges_.erase(after);
        }
        return true;
    }
    if (next != ranges_.end() && next->first == range.last) {
        next->first = range.first;
        return true;
    }
    ranges_.insert(next, range);
    return true;
}

bool range_set::overlaps(key_range range) const noexcept
{
    if (range.empty())
        return false;
    const auto next = std::lower_bound(
        ranges_.begin(), ranges_.end(), range.first + 1, ends_before);
    return next != ranges_.end() && next->first < range.last;
}

std::vector<key_range> range_set::missing(key_range within) const
{
    std::vector<key_range> gaps;
    record_key reached = within.first;
    for (const auto& range : ranges_) {
        if (range.last <= reached)
            continue;
        if (range.first >= within.last)
            break;
        if (range.first > reached)
            gaps.push_back({reached, range.first});
        reached = range.last;
    }
    if (reached < within.last)
        gaps.push_back({reached, within.last});
    return gaps;
}

std::uint64_t range_set::size() const noexcept
{
    std::uint64_t total = 0;
    for (const auto& range : ranges_)
        total += range.size();
    return total;
}

} // namespace peridotward
