#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <vector>

namespace peridotward {

/// \brief One time at which a part of a query acts.
struct part_wakeup
{
    time_point due;
    std::uint32_t part = 0;
    std::uint32_t serial = 0; ///< Stale unless it is the part's own.

    [[nodiscard]] bool operator>(const part_wakeup& other) const noexcept
    {
        return std::tie(due, part) > std::tie(other.due, other.part);
    }
};

/// \brief Binary heap of wakeups, the earliest first.
class wakeup_queue
{
public:
    void reserve(std::size_t count) { entries_.reserve(count); }
    void clear() noexcept { entries_.clear(); }

    void push(const part_wakeup& entry)
    {
        entries_.push_back(entry);
        std::push_heap(entries_.begin(), entries_.end(), std::greater<>{});
    }

    void pop() noexcept
    {
        std::pop_heap(entries_.begin(), entries_.end(), std::greater<>{});
        entries_.pop_back();
    }

    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }
    [[nodiscard]] const part_wakeup& top() const noexcept
    {
        return entries_.front();
    }

private:
    std::vector<part_wakeup> entries_;
};

} // namespace peridotward
