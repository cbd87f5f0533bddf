#include <peridotward/base/hash.hpp>
#include <peridotward/core/discovery/feed_plan.hpp>

#include <algorithm>
#include <set>

namespace peridotward {

namespace {

struct candidate
{
    std::string instance_id;
    std::string domain;
    std::uint32_t capacity = 0;
    std::uint64_t weight = 0;
};

std::vector<candidate> candidates_in(const membership& seen)
{
    std::vector<candidate> all;
    const auto add = [&](const member_update& told) {
        all.push_back(
            {told.id,
             told.domain,
             told.capacity,
             rendezvous_weight("reader", told.id)});
    };
    if (seen.serves(seen.self().id))
        add(seen.self());
    for (const auto& [instance_id, known] : seen.members()) {
        if (seen.serves(instance_id))
            add(known.latest_update);
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.capacity != b.capacity ? a.capacity > b.capacity
                                        : a.weight > b.weight;
    });
    return all;
}

/// The best of each failure domain come before the second best of any.
std::vector<candidate> spread(const std::vector<candidate>& ranked)
{
    std::set<std::string> domains;
    std::vector<candidate> first;
    std::vector<candidate> rest;
    for (const auto& entry : ranked)
        (domains.insert(entry.domain).second ? first : rest).push_back(entry);
    first.insert(first.end(), rest.begin(), rest.end());
    return first;
}

} // namespace

feed_plan plan_feed(const membership& seen)
{
    feed_plan plan;
    auto ranked = candidates_in(seen);
    if (ranked.size() <= feed_plan::small_fleet)
        return plan;
    ranked = spread(ranked);
    ranked.resize(std::min(ranked.size(), feed_plan::readers_wanted));
    const auto& self = seen.self();
    const auto own =
        std::find_if(ranked.begin(), ranked.end(), [&](const candidate& entry) {
            return entry.instance_id == self.id;
        });
    if (own != ranked.end())
        return plan;
    plan.reads_store = false;
    std::sort(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) {
        const bool near_a = a.domain == self.domain;
        const bool near_b = b.domain == self.domain;
        if (near_a != near_b)
            return near_a;
        return rendezvous_weight(self.id, a.instance_id) >
               rendezvous_weight(self.id, b.instance_id);
    });
    for (auto& entry : ranked)
        plan.readers.push_back(std::move(entry.instance_id));
    return plan;
}

} // namespace peridotward
