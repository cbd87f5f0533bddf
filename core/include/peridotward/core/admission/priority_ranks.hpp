#pragma once

#include <peridotward/base/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridotward {

/// \brief Ranks the priorities of recent requests by their urgency.
class priority_ranks
{
public:
    /// Highest rank; more urgent priorities share it.
    static constexpr std::size_t max_rank = 2;
    /// Time for which a priority without requests is remembered. An instance
    /// with few callers gets some requests of each kind in this time.
    static constexpr seconds memory{60};
    /// Priorities remembered at a time; bounds the time of a look-up.
    static constexpr std::size_t max_priorities = 16;

    /// \brief Records a request.
    /// \returns The rank of its priority.
    std::size_t record(std::int32_t priority, time_point now)
    {
        std::erase_if(
            seen_, [&](const auto& each) { return now - each.at > memory; });
        const auto found =
            std::find_if(seen_.begin(), seen_.end(), [&](const auto& each) {
                return each.priority == priority;
            });
        if (found != seen_.end())
            found->at = now;
        else if (seen_.size() < max_priorities)
            seen_.push_back({priority, now});
        return rank(priority);
    }

    /// \returns The number of less urgent priorities, in [0, `max_rank`].
    [[nodiscard]] std::size_t rank(std::int32_t priority) const
    {
        const auto less_urgent =
            std::count_if(seen_.begin(), seen_.end(), [&](const auto& each) {
                return each.priority > priority;
            });
        return std::min(static_cast<std::size_t>(less_urgent), max_rank);
    }

    /// \returns The rank of the most urgent priority.
    [[nodiscard]] std::size_t highest() const noexcept
    {
        return std::min(
            seen_.empty() ? std::size_t{0} : seen_.size() - 1, max_rank);
    }

private:
    struct seen_priority
    {
        std::int32_t priority = 0;
        time_point at;
    };

    std::vector<seen_priority> seen_;
};

} // namespace peridotward
