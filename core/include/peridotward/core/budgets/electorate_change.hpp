#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/budgets/electorate.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Change of an upstream's voters by a newer bundle, until the older
/// voters can no longer grant a lease among themselves.
///
/// \remarks The change is settled one lease term after a majority of the
/// older voters was heard with the newer bundle in force, since these refuse
/// holders that use an older one. Seats that the newer bundle lacks count as
/// heard: operators stop an instance before its seat goes.
class electorate_change
{
public:
    /// \param own The seat of this instance, which has the newer bundle.
    electorate_change(
        const bundle& older,
        const voter_list& before,
        const bundle& newer,
        std::string_view own,
        time_point now,
        duration term);

    /// \brief Notes that `instance_id` has `version` in force.
    void heard(
        std::string_view instance_id,
        bundle_version version,
        time_point now,
        duration term);

    /// \returns Whether the older voters are out of the way.
    [[nodiscard]] bool settled(time_point now) const noexcept
    {
        return missing_ == 0 && now >= open_from_;
    }

    /// \returns Whether `instance_id` voted before the change.
    [[nodiscard]] bool had(std::string_view instance_id) const noexcept;

    /// \returns The number of voters before the change.
    [[nodiscard]] std::size_t size() const noexcept { return before_.size(); }

    /// \returns The older voters that were not heard yet.
    [[nodiscard]] const std::vector<std::string>& waiting() const noexcept
    {
        return waiting_;
    }

private:
    void note(std::string_view instance_id, time_point now, duration term);

    bundle_version newer_;
    std::vector<std::string> before_;
    std::vector<std::string> waiting_;
    std::size_t missing_; ///< Voters to hear until a majority is.
    time_point open_from_;
};

} // namespace peridotward
