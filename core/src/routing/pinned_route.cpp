#include <peridotward/core/routing/pinned_route.hpp>

#include <utility>

namespace peridotward {

pinned_route::pinned_route(forward_config_ptr config, std::size_t index)
    : config_{std::move(config)}, index_{index}
{}

std::optional<pinned_route> pinned_route::find(
    const forward_config_ptr& config,
    std::string_view host,
    std::string_view path)
{
    const auto index = config->find(host, path);
    if (!index)
        return std::nullopt;
    return pinned_route{config, *index};
}

std::uint64_t pinned_route::digest() const
{
    return config_->digest_of(**this);
}

} // namespace peridotward
