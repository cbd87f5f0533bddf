#include <peridotward/core/entries/entry_id.hpp>
#include <peridotward/core/entries/entry_window.hpp>

#include <algorithm>

namespace peridotward {

void entry_window::begin_ownership(wall_time now) noexcept
{
    // An earlier owner accepts ids up to one clock error ahead of its own
    // clock, which can itself be ahead of this one by another clock error.
    min_issue_time_ = now + 2 * limits_.max_clock_error;
    ids_.clear();
    expiries_.clear();
}

entry_decision entry_window::admit(
    std::string_view request_id, wall_time moved_at, wall_time now)
{
    // Ids must not become valid again when the system clock is set back.
    latest_now_ = std::max(latest_now_, now);
    expire(latest_now_);
    const auto issued = issue_time(request_id);
    if (!issued)
        return entry_decision::malformed;
    std::string id{request_id};
    if (ids_.contains(id))
        return entry_decision::duplicate;
    const bool too_old = *issued + limits_.id_lifetime < latest_now_;
    const bool too_new = *issued > now + limits_.max_clock_error;
    const bool moved = moved_at != wall_time::min() &&
                       *issued < moved_at + limits_.bundle_rollout_time +
                                     2 * limits_.max_clock_error;
    if (too_old || too_new || *issued < min_issue_time_ || moved)
        return entry_decision::expired;
    if (ids_.size() >= limits_.max_ids)
        return entry_decision::full;
    // By the slowest clock, the lifetime of an id ends two clock errors later.
    expiries_.push_back(
        {latest_now_ + limits_.id_lifetime + 2 * limits_.max_clock_error, id});
    ids_.insert(std::move(id));
    return entry_decision::run;
}

void entry_window::withdraw(std::string_view request_id)
{
    ids_.erase(std::string{request_id});
}

void entry_window::expire(wall_time now)
{
    while (!expiries_.empty() && expiries_.front().until < now) {
        ids_.erase(expiries_.front().id);
        expiries_.pop_front();
    }
}

} // namespace peridotward
