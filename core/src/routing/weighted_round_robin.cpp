#include <peridotward/core/routing/weighted_round_robin.hpp>

#include <algorithm>

namespace peridotward {

forward_service_index weighted_round_robin::next(const forward_route& route)
{
    const auto& targets = route.targets;
    if (targets.size() == 1)
        return targets.front().service;
    auto& credits = credits_[route.name];
    credits.resize(targets.size());
    double total = 0;
    for (const auto& target : targets)
        total += target.weight;
    for (std::size_t i = 0; i < targets.size(); ++i)
        credits[i] += total > 0 ? targets[i].weight / total : 0;
    const auto best = std::max_element(credits.begin(), credits.end());
    *best -= 1;
    return targets[static_cast<std::size_t>(best - credits.begin())].service;
}

} // namespace peridotward
