#include <peridotward/base/hash.hpp>
#include <peridotward/core/accounts/quota_fleet.hpp>

#include <algorithm>
#include <tuple>

namespace peridotward {

namespace {

/// Interval between checks for instances to forget.
constexpr seconds forget_interval{5};

} // namespace

bool quota_fleet::update(const fleet_view& view, time_point now)
{
    const bool forget = now >= next_forget_;
    if (view.revision == revision_ && !forget)
        return false;
    const bool first = known_.empty();
    next_forget_ = now + forget_interval;
    const bool changed = view.revision != revision_;
    revision_ = view.revision;
    self_ = view.self;
    visible_.clear();
    visible_.push_back({view.self, std::max(view.weight, 1U)});
    for (std::size_t i = 0; i < view.others.size(); ++i)
        visible_.push_back(
            {view.others[i],
             i < view.other_weights.size() ? std::max(view.other_weights[i], 1U)
                                           : 1});
    for (auto& [name, instance] : known_)
        instance.visible = false;
    double visible = 0;
    for (const auto& [name, weight] : visible_) {
        known_[name] = {weight, true, now};
        visible += weight;
    }
    std::erase_if(known_, [&](const auto& each) {
        return !each.second.visible && now - each.second.seen_at > forget_time;
    });
    double total = 0;
    for (const auto& [name, instance] : known_)
        total += instance.weight;
    const auto intended = std::min(1.0, part_factor * visible / total);
    if (first || intended <= part_)
        part_ = intended;
    else if (intended != intended_part_)
        raise_at_ = now + raise_delay;
    intended_part_ = intended;
    return changed;
}

double quota_fleet::part(time_point now)
{
    if (intended_part_ > part_ && now >= raise_at_)
        part_ = intended_part_;
    return part_;
}

std::vector<std::string> quota_fleet::granters(std::string_view account) const
{
    // Strong instances first: most callers connect to them, and a granter
    // decides without messages.
    using candidate = std::tuple<std::uint32_t, std::uint64_t, std::size_t>;
    std::vector<candidate> order;
    order.reserve(visible_.size());
    for (std::size_t i = 0; i < visible_.size(); ++i)
        order.emplace_back(
            visible_[i].weight,
            rendezvous_weight(account, visible_[i].name),
            i);
    const auto count = std::min(order.size(), max_granters);
    std::partial_sort(
        order.begin(),
        order.begin() + static_cast<std::ptrdiff_t>(count),
        order.end(),
        std::greater<>{});
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back(visible_[std::get<2>(order[i])].name);
    return names;
}

} // namespace peridotward
