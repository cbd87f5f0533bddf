#pragma once

#include <peridotward/config/bundle.hpp>

#include <vector>

namespace peridotward {

/// \brief Maps the indices of upstreams and services of one bundle to those of
/// another bundle by id.
class bundle_translation
{
public:
    bundle_translation(const bundle& from, const bundle& to);

    /// \returns The index of the upstream with the same id in the other bundle;
    /// invalid when that bundle has none.
    [[nodiscard]] upstream_index operator()(upstream_index from) const noexcept
    {
        return upstreams_[from.position()];
    }

    /// \returns The index of the service with the same id in the other bundle;
    /// invalid when that bundle has none.
    [[nodiscard]] service_index operator()(service_index from) const noexcept
    {
        return services_[from.position()];
    }

private:
    std::vector<upstream_index> upstreams_;
    std::vector<service_index> services_;
};

} // namespace peridotward
