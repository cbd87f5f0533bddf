#pragma once

#include <peridotward/core/routing/forward_config.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace peridotward {

/// \brief A route together with the configuration that owns it.
///
/// \remarks A request keeps the route under which it was admitted. It may
/// outlast that configuration, so nothing that outlives a call refers to a
/// route in another way.
class pinned_route
{
public:
    /// \param index Of the route in `config->routes`.
    pinned_route(forward_config_ptr config, std::size_t index);

    /// \param host Without port, in lower case.
    /// \param path Without query string.
    /// \returns The route of `host` with the longest matching prefix, or
    /// nothing.
    [[nodiscard]] static std::optional<pinned_route> find(
        const forward_config_ptr& config,
        std::string_view host,
        std::string_view path);

    [[nodiscard]] const forward_route& operator*() const noexcept
    {
        return config_->routes[index_];
    }
    [[nodiscard]] const forward_route* operator->() const noexcept
    {
        return &**this;
    }

    /// \returns The configuration that owns the route.
    [[nodiscard]] const forward_config_ptr& config() const noexcept
    {
        return config_;
    }

    /// \returns A hash of all that decides how requests of the route are
    /// handled.
    [[nodiscard]] std::uint64_t digest() const;

private:
    forward_config_ptr config_;
    std::size_t index_;
};

} // namespace peridotward
