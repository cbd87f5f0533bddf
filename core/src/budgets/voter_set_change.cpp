#include <peridotward/core/budgets/voter_set_change.hpp>

#include <algorithm>

namespace peridotward {

voter_set_change::voter_set_change(
    const bundle& older,
    const voter_set& previous,
    const bundle& newer,
    std::string_view own_id,
    time_point now,
    duration term)
    : newer_version_{newer.version},
      confirmations_missing_{previous.count == 0 ? 0 : previous.majority()},
      settled_from_{now + term}
{
    for (const auto index : previous.ranked())
        previous_voters_.push_back(older.instances[index.position()].id);
    unconfirmed_ = previous_voters_;
    for (const auto& instance_id : previous_voters_) {
        if (instance_id == own_id || !newer.find_instance(instance_id).valid())
            confirm(instance_id, now, term);
    }
}

void voter_set_change::on_version(
    std::string_view instance_id,
    bundle_version version,
    time_point now,
    duration term)
{
    if (version >= newer_version_)
        confirm(instance_id, now, term);
}

bool voter_set_change::was_voter(std::string_view instance_id) const noexcept
{
    return std::find(
               previous_voters_.begin(), previous_voters_.end(), instance_id) !=
           previous_voters_.end();
}

void voter_set_change::confirm(
    std::string_view instance_id, time_point now, duration term)
{
    const auto found =
        std::find(unconfirmed_.begin(), unconfirmed_.end(), instance_id);
    if (found == unconfirmed_.end() || confirmations_missing_ == 0)
        return;
    unconfirmed_.erase(found);
    --confirmations_missing_;
    settled_from_ = now + term;
}

} // namespace peridotward
