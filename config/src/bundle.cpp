#include <peridotward/config/bundle.hpp>

#include <algorithm>

namespace peridotward {

namespace {

template<class Index, class Entry>
Index find_by_id(const std::vector<Entry>& entries, std::string_view id)
{
    for (std::uint32_t i = 0; i < entries.size(); ++i) {
        if (entries[i].id == id)
            return Index{i};
    }
    return Index{};
}

} // namespace

search_index bundle::find_search(std::string_view id) const noexcept
{
    return find_by_id<search_index>(searches, id);
}

service_index bundle::find_service(std::string_view id) const noexcept
{
    return find_by_id<service_index>(services, id);
}

instance_index bundle::find_instance(std::string_view id) const noexcept
{
    return find_by_id<instance_index>(instances, id);
}

domain_index bundle::find_domain(std::string_view id) const noexcept
{
    return find_by_id<domain_index>(domains, id);
}

upstream_index bundle::find_upstream(std::string_view id) const noexcept
{
    return find_by_id<upstream_index>(upstreams, id);
}

class_index bundle::find_class(std::string_view id) const noexcept
{
    return find_by_id<class_index>(classes, id);
}

const shard_map*
bundle::map_at(std::string_view name, snapshot_id snapshot) const noexcept
{
    const shard_map* best = nullptr;
    for (const auto& map : maps) {
        if (map.id == name && map.from_snapshot <= snapshot)
            best = &map;
    }
    return best;
}

bool bundle::admits(upstream_index index) const noexcept
{
    const auto& entry = upstreams[index.position()];
    return entry.state == admin_state::in &&
           domains[entry.domain.position()].state == admin_state::in;
}

} // namespace peridotward
