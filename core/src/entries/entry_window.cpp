#include <peridotward/core/entries/entry_id.hpp>
#include <peridotward/core/entries/entry_window.hpp>

#include <algorithm>

namespace peridotward {

void entry_window::begin_tenure(wall_time now) noexcept
{
    // An earlier owner accepts ids up to one clock error ahead of its own
    // clock, which itself may differ from this one by a clock error.
    known_since_ = now + 2 * limits_.clock_error;
    ids_.clear();
    order_.clear();
}

entry_verdict entry_window::admit(
    std::string_view request_id, wall_time moved_at, wall_time now)
{
    // Time never goes back here, whatever the machine's clock does.
    latest_ = std::max(latest_, now);
    expire(latest_);
    const auto issued = issue_time(request_id);
    if (!issued)
        return entry_verdict::malformed;
    std::string id{request_id};
    if (ids_.contains(id))
        return entry_verdict::duplicate;
    const bool too_old = *issued + limits_.id_lifetime < latest_;
    const bool too_new = *issued > now + limits_.clock_error;
    const bool moved =
        moved_at != wall_time::min() &&
        *issued < moved_at + limits_.settle_time + 2 * limits_.clock_error;
    if (too_old || too_new || *issued < known_since_ || moved)
        return entry_verdict::expired;
    if (ids_.size() >= limits_.max_ids)
        return entry_verdict::full;
    // An id can arrive until its lifetime is over by the slowest clock.
    order_.push_back(
        {latest_ + limits_.id_lifetime + 2 * limits_.clock_error, id});
    ids_.insert(std::move(id));
    return entry_verdict::run;
}

void entry_window::withdraw(std::string_view request_id)
{
    ids_.erase(std::string{request_id});
}

void entry_window::expire(wall_time now)
{
    while (!order_.empty() && order_.front().until < now) {
        ids_.erase(order_.front().id);
        order_.pop_front();
    }
}

} // namespace peridotward
