#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/budgets/voter_table.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Tracks the replacement of an upstream's voters by a newer bundle,
/// until the previous voters can no longer grant a lease by themselves.
///
/// \remarks A voter with the newer bundle refuses holders that use an older
/// one. The change is therefore settled one lease term after a majority of the
/// previous voters confirmed the newer bundle. Instances that the newer bundle
/// lacks count as confirmed, because operators stop an instance before they
/// remove it from the bundle.
class voter_set_change
{
public:
    /// \param own_id Id of this instance, which already uses the newer bundle.
    voter_set_change(
        const bundle& older,
        const voter_set& previous,
        const bundle& newer,
        std::string_view own_id,
        time_point now,
        duration term);

    /// \brief Records that an instance reported its current bundle version.
    void on_version(
        std::string_view instance_id,
        bundle_version version,
        time_point now,
        duration term);

    /// \returns Whether the previous voters can no longer grant a lease.
    [[nodiscard]] bool settled(time_point now) const noexcept
    {
        return confirmations_missing_ == 0 && now >= settled_from_;
    }

    /// \returns Whether the instance was a voter before the change.
    [[nodiscard]] bool was_voter(std::string_view instance_id) const noexcept;

    /// \returns The number of voters before the change.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return previous_voters_.size();
    }

    /// \returns The previous voters that have not confirmed the newer bundle.
    [[nodiscard]] const std::vector<std::string>& unconfirmed() const noexcept
    {
        return unconfirmed_;
    }

private:
    void confirm(std::string_view instance_id, time_point now, duration term);

    bundle_version newer_version_;
    std::vector<std::string> previous_voters_;
    std::vector<std::string> unconfirmed_;
    std::size_t confirmations_missing_; ///< Until a majority has confirmed.
    time_point settled_from_;
};

} // namespace peridotward
