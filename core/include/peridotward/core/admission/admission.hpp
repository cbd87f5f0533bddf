#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/admission/admission_lane.hpp>

#include <map>
#include <string>

namespace peridotward {

/// \brief Admits queries to searches; each search has its own lane, so that
/// one in overload does not hold up the others.
///
/// \remarks Lanes are named by search id and outlive changes of the bundle.
class admission
{
public:
    /// \returns The lane of a search, made on first use.
    [[nodiscard]] admission_lane& lane(const search& wanted)
    {
        auto [found, made] =
            lanes_.try_emplace(wanted.id, wanted.policy.max_queued);
        if (!made)
            found->second.max_waiting(wanted.policy.max_queued);
        return found->second;
    }

    /// \brief Refuses what became unreachable in any lane.
    void on_timeout(time_point now, admission_actions& out)
    {
        for (auto& [id, each] : lanes_)
            each.on_timeout(now, out);
    }

    /// \returns When `on_timeout` must be called next.
    [[nodiscard]] time_point next_wakeup() const noexcept
    {
        auto earliest = time_point::max();
        for (const auto& [id, each] : lanes_)
            earliest = std::min(earliest, each.next_wakeup());
        return earliest;
    }

    /// \returns Whether any query waits.
    [[nodiscard]] bool waiting() const noexcept
    {
        return next_wakeup() != time_point::max();
    }

    [[nodiscard]] const auto& lanes() const noexcept { return lanes_; }

private:
    std::map<std::string, admission_lane, std::less<>> lanes_;
};

} // namespace peridotward
