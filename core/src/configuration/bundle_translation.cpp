#include <peridotward/core/configuration/bundle_translation.hpp>

#include <string_view>
#include <unordered_map>

namespace peridotward {

namespace {

/// Returns the index in `to` of each element of `from`, matched by id.
template<class Index, class Element>
std::vector<Index>
indices_in(const std::vector<Element>& from, const std::vector<Element>& to)
{
    std::unordered_map<std::string_view, std::uint32_t> positions;
    for (std::uint32_t i = 0; i < to.size(); ++i)
        positions.emplace(to[i].id, i);
    std::vector<Index> indices(from.size());
    for (std::size_t i = 0; i < from.size(); ++i) {
        const auto found = positions.find(from[i].id);
        if (found != positions.end())
            indices[i] = Index{found->second};
    }
    return indices;
}

} // namespace

bundle_translation::bundle_translation(const bundle& from, const bundle& to)
    : upstreams_{indices_in<upstream_index>(from.upstreams, to.upstreams)},
      services_{indices_in<service_index>(from.services, to.services)}
{}

} // namespace peridotward
