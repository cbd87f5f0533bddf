#pragma once

#include <peridotward/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace peridotward {

/// \brief Decision of an owner on an entry.
enum class entry_decision : std::uint8_t
{
    run,       ///< The id is new; the entry must be run.
    duplicate, ///< The id was accepted before.
    expired,   ///< The owner cannot determine whether the entry was run.
    malformed, ///< The id contains no issue time.
    full,      ///< The window holds the maximum number of ids.
};

/// \brief Limits of an `entry_window`.
struct entry_window_limits
{
    /// Ids older than this are refused.
    milliseconds id_lifetime{60'000};
    /// Maximum difference between the clocks of any two callers or instances;
    /// ids issued further in the future are refused.
    milliseconds max_clock_error{1'000};
    /// Time until a changed bundle is in force on all instances.
    milliseconds bundle_rollout_time{5'000};
    /// Maximum number of ids in the window.
    std::size_t max_ids = 100'000;
};

/// \brief Deduplication window for the entries of one upstream while one
/// instance owns the upstream.
///
/// \remarks The ids are kept in memory only. An entry that an earlier owner may
/// have run is refused: an id must be issued after the start of the ownership
/// period, plus a margin for clock errors.
class entry_window
{
public:
    explicit entry_window(entry_window_limits limits = {}) noexcept
        : limits_{limits}
    {}

    /// \brief Starts an ownership period: clears the window, and refuses ids
    /// issued before `now` from then on.
    void begin_ownership(wall_time now) noexcept;

    /// \brief Decides whether to run the entry with this id; adds the id to the
    /// window on `run`.
    ///
    /// \param moved_at When the id moved to this upstream; see
    /// `entry_router::moved_at`.
    /// \param now Time by the clock of this instance.
    [[nodiscard]] entry_decision
    admit(std::string_view request_id, wall_time moved_at, wall_time now);

    /// \brief Removes an admitted id whose entry was not sent to the upstream.
    void withdraw(std::string_view request_id);

    /// \returns The number of ids in the window.
    [[nodiscard]] std::size_t size() const noexcept { return ids_.size(); }

private:
    struct id_expiry
    {
        wall_time until;
        std::string id;
    };

    void expire(wall_time now);

    entry_window_limits limits_;
    /// Ids issued earlier may have been run by an earlier owner.
    wall_time min_issue_time_ = wall_time::max();
    wall_time latest_now_ = wall_time::min(); ///< Maximum `now` passed so far.
    std::unordered_set<std::string> ids_;
    std::deque<id_expiry> expiries_; ///< Sorted by `until`.
};

} // namespace peridotward
