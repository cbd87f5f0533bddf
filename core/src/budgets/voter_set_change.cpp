#include <peridotward/core/budgets/voter_set_change.hpp>

#include <algorithm>

namespace peridotward {

voter_set_change::voter_set_change(
    const bundle& older,
    const voter_set& before,
    const bundle& newer,
    std::string_view own,
    time_point now,
    duration term)
    : newer_{newer.version},
      missing_{before.count == 0 ? 0 : before.majority()},
      open_from_{now + term}
{
    for (const auto index : before.ranked())
        before_.push_back(older.seats[index.position()].id);
    waiting_ = before_;
    for (const auto& seat : before_) {
        if (seat == own || !newer.find_seat(seat).valid())
            note(seat, now, term);
    }
}

void voter_set_change::heard(
    std::string_view seat,
    bundle_version version,
    time_point now,
    duration term)
{
    if (version >= newer_)
        note(seat, now, term);
}

bool voter_set_change::had(std::string_view seat) const noexcept
{
    return std::find(before_.begin(), before_.end(), seat) != before_.end();
}

void voter_set_change::note(
    std::string_view seat, time_point now, duration term)
{
    const auto found = std::find(waiting_.begin(), waiting_.end(), seat);
    if (found == waiting_.end() || missing_ == 0)
        return;
    waiting_.erase(found);
    --missing_;
    open_from_ = now + term;
}

} // namespace peridotward
