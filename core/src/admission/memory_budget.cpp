#include <peridotward/core/admission/memory_budget.hpp>

#include <set>

namespace peridotward {

void memory_claim::release() noexcept
{
    const auto budget = std::exchange(budget_, nullptr);
    auto* const group = std::exchange(group_, nullptr);
    const auto bytes = std::exchange(bytes_, 0);
    if (budget)
        budget->give_back(*group, bytes);
}

void memory_claim::reduce(std::size_t bytes) noexcept
{
    if (bytes == 0)
        release();
    else if (bytes < bytes_)
        budget_->give_back(*group_, std::exchange(bytes_, bytes) - bytes);
}

void memory_budget::limit(std::size_t capacity)
{
    capacity_ = capacity;
    grant();
}

std::size_t memory_budget::max_group_bytes() const noexcept
{
    return static_cast<std::size_t>(
        max_group_share * static_cast<double>(capacity_));
}

bool memory_budget::fits(
    std::string_view group, std::size_t bytes) const noexcept
{
    const auto found = groups_.find(group);
    const auto held = found == groups_.end() ? 0 : found->second;
    return (used_ == 0 || used_ + bytes <= capacity_) &&
           (held == 0 || held + bytes <= max_group_bytes());
}

memory_claim memory_budget::take(std::string_view group, std::size_t bytes)
{
    auto found = groups_.find(group);
    if (found == groups_.end())
        found = groups_.emplace(group, 0).first;
    found->second += bytes;
    used_ += bytes;
    memory_claim claim;
    claim.budget_ = this;
    claim.group_ = &*found;
    claim.bytes_ = bytes;
    return claim;
}

memory_claim memory_budget::claim(
    std::string_view group, std::size_t bytes, memory_waiter& waiter)
{
    waiter.cancel();
    bool group_waits = false;
    bool other_waits = false;
    for (const auto& each : waiters_) {
        group_waits = group_waits || each.group_ == group;
        other_waits = other_waits || used_ + each.bytes_ > capacity_;
    }
    if (!group_waits && !other_waits && fits(group, bytes))
        return take(group, bytes);
    waiter.group_ = group;
    waiter.bytes_ = bytes;
    waiters_.push_back(waiter);
    return {};
}

void memory_budget::give_back(
    memory_claim::group_usage& group, std::size_t bytes)
{
    used_ -= bytes;
    group.second -= bytes;
    if (group.second == 0)
        groups_.erase(group.first);
    grant();
}

void memory_budget::grant()
{
    // A granted claim may be released during the call.
    if (granting_)
        return;
    granting_ = true;
    const boost::intrusive_ptr<memory_budget> guard{this};
    bool granted = true;
    while (granted) {
        granted = false;
        std::set<std::string_view> blocked;
        for (auto& waiter : waiters_) {
            if (blocked.contains(waiter.group_))
                continue;
            if (fits(waiter.group_, waiter.bytes_)) {
                waiter.unlink();
                waiter.on_granted_(take(waiter.group_, waiter.bytes_));
                granted = true;
                break;
            }
            // Later claims don't overtake one that waits for the whole budget.
            if (used_ + waiter.bytes_ > capacity_)
                break;
            blocked.insert(waiter.group_);
        }
    }
    granting_ = false;
}

std::size_t memory_budget::waiting_bytes() const
{
    std::size_t total = 0;
    for (const auto& each : waiters_)
        total += each.bytes_;
    return total;
}

bool memory_budget::overcommitted(std::string_view group) const
{
    std::size_t total = 0;
    for (const auto& each : waiters_) {
        if (each.group_ == group)
            total += each.bytes_;
    }
    return total >= max_waiting_shares * max_group_bytes();
}

} // namespace peridotward
