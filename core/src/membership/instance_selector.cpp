#include <peridotward/base/hash.hpp>
#include <peridotward/core/membership/instance_selector.hpp>

#include <algorithm>
#include <iterator>

namespace peridotward {

std::vector<instance_candidate> order_instances(
    std::vector<instance_candidate> candidates,
    std::string_view caller,
    std::string_view caller_domain)
{
    std::erase_if(candidates, [](const instance_candidate& candidate) {
        return !candidate.usable;
    });
    const auto before = [&](const instance_candidate& a,
                            const instance_candidate& b) {
        const bool a_local = a.domain == caller_domain;
        const bool b_local = b.domain == caller_domain;
        if (a_local != b_local)
            return a_local;
        return rendezvous_weight(caller, a.id) >
               rendezvous_weight(caller, b.id);
    };
    std::sort(candidates.begin(), candidates.end(), before);
    return candidates;
}

namespace {

template<class Predicate>
std::vector<instance_candidate>
filter(const std::vector<instance_candidate>& candidates, Predicate predicate)
{
    std::vector<instance_candidate> result;
    std::copy_if(
        candidates.begin(),
        candidates.end(),
        std::back_inserter(result),
        predicate);
    return result;
}

/// Returns the calm strong instances if there are at least `min_strong` of
/// them; else all instances that are not full; else all instances.
std::vector<instance_candidate>
preferred(const std::vector<instance_candidate>& candidates)
{
    std::uint32_t max_capacity = 0;
    for (const auto& candidate : candidates)
        max_capacity = std::max(max_capacity, candidate.capacity);
    auto strong = filter(candidates, [&](const instance_candidate& candidate) {
        return candidate.load == member_load::calm &&
               candidate.capacity >=
                   directory_selector::strong_capacity_share * max_capacity;
    });
    if (strong.size() >= directory_selector::min_strong)
        return strong;
    auto not_full = filter(candidates, [](const instance_candidate& candidate) {
        return candidate.load != member_load::full;
    });
    return not_full.empty() ? candidates : not_full;
}

} // namespace

std::vector<instance_candidate> directory_selector::select(
    std::vector<instance_candidate> candidates,
    std::string_view caller_domain,
    std::size_t max_count)
{
    std::erase_if(candidates, [](const instance_candidate& candidate) {
        return !candidate.usable;
    });
    auto selected = preferred(candidates);
    const auto local =
        filter(selected, [&](const instance_candidate& candidate) {
            return candidate.domain == caller_domain;
        });
    if (local.size() >= min_local)
        selected = local;
    selected =
        order_instances(std::move(selected), caller_domain, caller_domain);
    if (!local.empty() && local.size() < min_local)
        selected.resize(std::min(selected.size(), min_local));
    if (selected.size() > max_count)
        selected.resize(max_count);
    return selected;
}

} // namespace peridotward
