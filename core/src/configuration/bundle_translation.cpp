#include <peridotward/core/configuration/bundle_translation.hpp>

#include <string_view>
#include <unordered_map>

namespace peridotward {

namespace {

template<class Index, class Entry>
std::vector<Index>
places_of(const std::vector<Entry>& from, const std::vector<Entry>& to)
{
    std::unordered_map<std::string_view, std::uint32_t> positions;
    for (std::uint32_t i = 0; i < to.size(); ++i)
        positions.emplace(to[i].id, i);
    std::vector<Index> places(from.size());
    for (std::size_t i = 0; i < from.size(); ++i) {
        const auto found = positions.find(from[i].id);
        if (found != positions.end())
            places[i] = Index{found->second};
    }
    return places;
}

} // namespace

bundle_translation::bundle_translation(const bundle& from, const bundle& to)
    : upstreams_{places_of<upstream_index>(from.upstreams, to.upstreams)},
      services_{places_of<service_index>(from.services, to.services)}
{}

} // namespace peridotward
