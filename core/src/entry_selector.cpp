#include <peridotward/base/hash.hpp>
#include <peridotward/core/entry_selector.hpp>

#include <algorithm>

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

} // namespace peridotward
