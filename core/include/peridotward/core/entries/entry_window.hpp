#pragma once

#include <peridotward/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace peridotward {

/// \brief What an owner does with a non-idempotent request.
enum class entry_verdict : std::uint8_t
{
    run,       ///< The id is new; run it once.
    duplicate, ///< The id was accepted before.
    expired,   ///< The owner cannot know whether the id has run.
    malformed, ///< The id carries no time.
    full,      ///< The window has no room.
};

/// \brief Limits of an `entry_window`.
struct entry_window_limits
{
    /// Ids older than this are refused.
    milliseconds id_lifetime{60'000};
    /// Largest error of any clock of callers and instances against each
    /// other; ids from further ahead are refused.
    milliseconds clock_error{1'000};
    /// Time in which a changed bundle is in force everywhere.
    milliseconds settle_time{5'000};
    /// Ids kept at once.
    std::size_t max_ids = 100'000;
};

/// \brief Keeps the ids of non-idempotent requests of one upstream while one
/// instance owns it, so that none runs twice.
///
/// \remarks Nothing is stored beyond the process. What an owner cannot know,
/// because an earlier owner may have run it, is refused: an id must be issued
/// after the owner's tenure began, by more than clocks may be wrong.
class entry_window
{
public:
    explicit entry_window(entry_window_limits limits = {}) noexcept
        : limits_{limits}
    {}

    /// \brief Begins a tenure: everything issued before `now` is unknown.
    void begin_tenure(wall_time now) noexcept;

    /// \brief Decides on an id and, on `run`, remembers it.
    ///
    /// \param moved_at When the id last moved to this upstream; see
    /// `entry_router::moved_at`.
    [[nodiscard]] entry_verdict
    admit(std::string_view request_id, wall_time moved_at, wall_time now);

    /// \brief Forgets an admitted id of which no byte was sent.
    void withdraw(std::string_view request_id);

    /// \returns The number of ids that are remembered.
    [[nodiscard]] std::size_t size() const noexcept { return ids_.size(); }

private:
    struct remembered
    {
        wall_time until;
        std::string id;
    };

    void expire(wall_time now);

    entry_window_limits limits_;
    wall_time known_since_ = wall_time::max();
    wall_time latest_ = wall_time::min();
    std::unordered_set<std::string> ids_;
    std::deque<remembered> order_; ///< By `until`.
};

} // namespace peridotward
