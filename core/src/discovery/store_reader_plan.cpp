#include <peridotward/base/hash.hpp>
#include <peridotward/core/discovery/store_reader_plan.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace peridotward {

namespace {

struct candidate
{
    std::string instance_id;
    std::string domain;
    std::uint32_t capacity = 0;
    std::uint64_t weight = 0;
};

std::vector<candidate> rank_candidates(const membership& members)
{
    std::vector<candidate> all;
    const auto add = [&](const member_update& member) {
        all.push_back(
            {member.id,
             member.domain,
             member.capacity,
             rendezvous_weight("reader", member.id)});
    };
    if (members.serves(members.self().id))
        add(members.self());
    for (const auto& [instance_id, known] : members.members()) {
        if (members.serves(instance_id))
            add(known.latest_update);
    }
    std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.capacity != b.capacity ? a.capacity > b.capacity
                                        : a.weight > b.weight;
    });
    return all;
}

/// Moves the best candidate of each failure domain to the front.
std::vector<candidate> spread_over_domains(const std::vector<candidate>& ranked)
{
    std::set<std::string> domains;
    std::vector<candidate> first;
    std::vector<candidate> rest;
    for (const auto& each : ranked)
        (domains.insert(each.domain).second ? first : rest).push_back(each);
    first.insert(first.end(), rest.begin(), rest.end());
    return first;
}

} // namespace

std::size_t
store_reader_count(std::size_t instances, std::size_t domains) noexcept
{
    const auto by_size =
        (instances + store_reader_plan::max_instances_per_reader - 1) /
        store_reader_plan::max_instances_per_reader;
    const bool large_domains =
        instances >= store_reader_plan::min_domain_size * domains;
    return std::max(
        {store_reader_plan::reader_count,
         by_size,
         large_domains ? domains : std::size_t{}});
}

store_reader_plan plan_store_readers(const membership& members)
{
    store_reader_plan plan;
    auto ranked = rank_candidates(members);
    if (ranked.size() <= store_reader_plan::small_fleet_size)
        return plan;
    ranked = spread_over_domains(ranked);
    std::set<std::string_view> domains;
    for (const auto& each : ranked)
        domains.insert(each.domain);
    const auto readers = store_reader_count(ranked.size(), domains.size());
    domains.clear();
    ranked.resize(std::min(ranked.size(), readers));
    const auto& self = members.self();
    const auto own =
        std::find_if(ranked.begin(), ranked.end(), [&](const candidate& each) {
            return each.instance_id == self.id;
        });
    if (own != ranked.end())
        return plan;
    plan.reads_store = false;
    std::sort(ranked.begin(), ranked.end(), [&](const auto& a, const auto& b) {
        const bool local_a = a.domain == self.domain;
        const bool local_b = b.domain == self.domain;
        if (local_a != local_b)
            return local_a;
        return rendezvous_weight(self.id, a.instance_id) >
               rendezvous_weight(self.id, b.instance_id);
    });
    for (auto& each : ranked)
        plan.readers.push_back(std::move(each.instance_id));
    return plan;
}

} // namespace peridotward
