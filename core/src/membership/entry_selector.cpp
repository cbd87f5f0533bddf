#include <peridotward/base/hash.hpp>
#include <peridotward/core/membership/entry_selector.hpp>

#include <algorithm>
#include <iterator>

namespace peridotward {

std::vector<entry_candidate> select_entries(
    std::vector<entry_candidate> candidates,
    std::string_view caller,
    std::string_view caller_domain)
{
    std::erase_if(candidates, [](const entry_candidate& candidate) {
        return !candidate.usable;
    });
    const auto before = [&](const entry_candidate& a,
                            const entry_candidate& b) {
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
std::vector<entry_candidate>
kept(const std::vector<entry_candidate>& from, Keep keep)
{
    std::vector<entry_candidate> found;
    std::copy_if(from.begin(), from.end(), std::back_inserter(found), keep);
    return found;
}

/// Strong instances that are calm, if there are enough of them; else all that
/// are not full; else all.
std::vector<entry_candidate> able(const std::vector<entry_candidate>& from)
{
    std::uint32_t greatest = 0;
    for (const auto& entry : from)
        greatest = std::max(greatest, entry.capacity);
    auto strong = kept(from, [&](const entry_candidate& entry) {
        return entry.load == member_load::calm &&
               entry.capacity >= entry_naming::strong_share * greatest;
    });
    if (strong.size() >= entry_naming::enough_strong)
        return strong;
    auto open = kept(from, [](const entry_candidate& entry) {
        return entry.load != member_load::full;
    });
    return open.empty() ? from : open;
}

} // namespace

std::vector<entry_candidate> entry_naming::name(
    std::vector<entry_candidate> candidates,
    std::string_view caller_domain,
    std::size_t most)
{
    std::erase_if(candidates, [](const entry_candidate& candidate) {
        return !candidate.usable;
    });
    auto named = able(candidates);
    const auto near = kept(named, [&](const entry_candidate& entry) {
        return entry.domain == caller_domain;
    });
    if (near.size() >= enough_near)
        named = near;
    named = select_entries(std::move(named), caller_domain, caller_domain);
    if (!near.empty() && near.size() < enough_near)
        named.resize(std::min(named.size(), enough_near));
    if (named.size() > most)
        named.resize(most);
    return named;
}

} // namespace peridotward
