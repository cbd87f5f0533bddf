#include <peridotward/core/budgets/electorate_change.hpp>

#include <algorithm>

namespace peridotward {

electorate_change::electorate_change(
    const bundle& older,
    const voter_list& before,
    const bundle& newer,
    std::string_view own,
    time_point now,
    duration term)
    : newer_{newer.version},
      missing_{before.count == 0 ? 0 : before.majority()},
      open_from_{now + term}
{
    for (const auto index : before.ranked())
        before_.push_back(older.instances[index.position()].id);
    waiting_ = before_;
    for (const auto& instance_id : before_) {
        if (instance_id == own || !newer.find_instance(instance_id).valid())
            note(instance_id, now, term);
    }
}

void electorate_change::heard(
    std::string_view instance_id,
    bundle_version version,
    time_point now,
    duration term)
{
    if (version >= newer_)
        note(instance_id, now, term);
}

bool electorate_change::had(std::string_view instance_id) const noexcept
{
    return std::find(before_.begin(), before_.end(), instance_id) !=
           before_.end();
}

void electorate_change::note(
    std::string_view instance_id, time_point now, duration term)
{
    const auto found = std::find(waiting_.begin(), waiting_.end(), instance_id);
    if (found == waiting_.end() || missing_ == 0)
        return;
    waiting_.erase(found);
    --missing_;
    open_from_ = now + term;
}

} // namespace peridotward
