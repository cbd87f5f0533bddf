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
        const bool a_near = a.domain == caller_domain;
        const bool b_near = b.domain == caller_domain;
        if (a_near != b_near)
            return a_near;
        return rendezvous_weight(caller, a.id) >
               rendezvous_weight(caller, b.id);
    };
    std::sort(candidates.begin(), candidates.end(), before);
    return candidates;
}

namespace {

template<class Keep>
std::vector<instance_candidate>
kept(const std::vector<instance_candidate>& from, Keep keep)
{
    std::vector<instance_candidate> found;
    std::copy_if(from.begin(), from.end(), std::back_inserter(found), keep);
    return found;
}

/// Strong instances that are calm, if there are enough of them; else all that
/// are not full; else all.
std::vector<instance_candidate>
able(const std::vector<instance_candidate>& from)
{
    std::uint32_t greatest = 0;
    for (const auto& entry : from)
        greatest = std::max(greatest, entry.capacity);
    auto strong = kept(from, [&](const instance_candidate& entry) {
        return entry.load == member_load::calm &&
               entry.capacity >=
                   directory_selector::strong_capacity_share * greatest;
    });
    if (strong.size() >= directory_selector::min_strong)
        return strong;
    auto open = kept(from, [](const instance_candidate& entry) {
        return entry.load != member_load::full;
    });
    return open.empty() ? from : open;
}

} // namespace

std::vector<instance_candidate> directory_selector::select(
    std::vector<instance_candidate> candidates,
    std::string_view caller_domain,
    std::size_t most)
{
    std::erase_if(candidates, [](const instance_candidate& candidate) {
        return !candidate.usable;
    });
    auto named = able(candidates);
    const auto near = kept(named, [&](const instance_candidate& entry) {
        return entry.domain == caller_domain;
    });
    if (near.size() >= min_local)
        named = near;
    named = order_instances(std::move(named), caller_domain, caller_domain);
    if (!near.empty() && near.size() < min_local)
        named.resize(std::min(named.size(), min_local));
    if (named.size() > most)
        named.resize(most);
    return named;
}

} // namespace peridotward
