#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <vector>

namespace peridotward {

/// \brief A timer of one part of a query.
struct part_wakeup
{
    time_point due;
    std::uint32_t part = 0;
    /// The wakeup is stale unless this equals the `wakeup_serial` of the part.
    std::uint32_t serial = 0;

    [[nodiscard]] bool operator>(const part_wakeup& other) const noexcept
    {
        return std::tie(due, part) > std::tie(other.due, other.part);
    }
};

/// \brief Binary heap of wakeups with the earliest on top.
class wakeup_queue
{
public:
    void reserve(std::size_t count) { wakeups_.reserve(count); }
    void clear() noexcept { wakeups_.clear(); }

    void push(const part_wakeup& wakeup)
    {
        wakeups_.push_back(wakeup);
        std::push_heap(wakeups_.begin(), wakeups_.end(), std::greater<>{});
    }

    void pop() noexcept
    {
        std::pop_heap(wakeups_.begin(), wakeups_.end(), std::greater<>{});
        wakeups_.pop_back();
    }

    [[nodiscard]] bool empty() const noexcept { return wakeups_.empty(); }
    [[nodiscard]] const part_wakeup& top() const noexcept
    {
        return wakeups_.front();
    }

private:
    std::vector<part_wakeup> wakeups_;
};

} // namespace peridotward
