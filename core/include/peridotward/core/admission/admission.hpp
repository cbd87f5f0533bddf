#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/admission/admission_queue.hpp>

#include <map>
#include <string>

namespace peridotward {

/// \brief Admission control for queries, with one queue for each search.
///
/// \remarks The queues are independent, so an overloaded search does not delay
/// the others. They are keyed by search id and survive a change of the bundle.
class admission
{
public:
    /// \returns The queue of the search, created on first use, with the current
    /// queue length limit applied.
    [[nodiscard]] admission_queue& queue(const search& definition)
    {
        auto [position, inserted] =
            queues_.try_emplace(definition.id, definition.policy.max_queued);
        if (!inserted)
            position->second.max_waiting(definition.policy.max_queued);
        return position->second;
    }

    /// \brief Refuses the queries that can no longer meet their deadline, in
    /// all queues.
    void on_timeout(time_point now, admission_actions& out)
    {
        for (auto& [id, each] : queues_)
            each.on_timeout(now, out);
    }

    /// \returns The time at which `on_timeout` must be called next.
    [[nodiscard]] time_point next_wakeup() const noexcept
    {
        auto earliest = time_point::max();
        for (const auto& [id, each] : queues_)
            earliest = std::min(earliest, each.next_wakeup());
        return earliest;
    }

    /// \returns Whether any query is queued.
    [[nodiscard]] bool waiting() const noexcept
    {
        return next_wakeup() != time_point::max();
    }

    [[nodiscard]] const auto& queues() const noexcept { return queues_; }

private:
    std::map<std::string, admission_queue, std::less<>> queues_;
};

} // namespace peridotward
