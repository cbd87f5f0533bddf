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
    const auto leaves = [&](const std::string& name) {
        return std::find(view.leaving.begin(), view.leaving.end(), name) !=
               view.leaving.end();
    };
    visible_.clear();
    visible_.push_back(
        {view.self, std::max(view.weight, 1U), leaves(view.self)});
    for (std::size_t i = 0; i < view.others.size(); ++i)
        visible_.push_back(
            {view.others[i],
             i < view.other_weights.size() ? std::max(view.other_weights[i], 1U)
                                           : 1,
             leaves(view.others[i])});
    for (auto& [name, instance] : known_)
        instance.visible = false;
    double visible = 0;
    for (const auto& [name, weight, leaving] : visible_) {
        known_[name] = {weight, true, leaving, now};
        visible += weight;
    }
    std::erase_if(known_, [&](const auto& each) {
        const auto& instance = each.second;
        return !instance.visible &&
               (instance.leaving || now - instance.seen_at > forget_time);
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
    using candidate =
        std::tuple<bool, std::uint32_t, std::uint64_t, std::size_t>;
    std::vector<candidate> order;
    order.reserve(visible_.size());
    for (std::size_t i = 0; i < visible_.size(); ++i)
        order.emplace_back(
            !visible_[i].leaving,
            visible_[i].weight,
            rendezvous_weight(account, visible_[i].name),
            i);
    const auto staying = static_cast<std::size_t>(std::count_if(
        visible_.begin(), visible_.end(), [](const visible_instance& each) {
            return !each.leaving;
        }));
    const auto count =
        std::min(staying == 0 ? order.size() : staying, max_granters);
    std::partial_sort(
        order.begin(),
        order.begin() + static_cast<std::ptrdiff_t>(count),
        order.end(),
        std::greater<>{});
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i)
        names.push_back(visible_[std::get<3>(order[i])].name);
    return names;
}

} // namespace peridotward
