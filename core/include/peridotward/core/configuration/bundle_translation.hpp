#pragma once

#include <peridotward/config/bundle.hpp>

#include <vector>

namespace peridotward {

/// \brief Leads from the upstreams and services of one bundle to those of
/// another by id.
class bundle_translation
{
public:
    bundle_translation(const bundle& from, const bundle& to);

    /// \returns The same upstream in the other bundle; invalid when it is
    /// not there.
    [[nodiscard]] upstream_index operator()(upstream_index from) const noexcept
    {
        return upstreams_[from.position()];
    }

    /// \returns The same service in the other bundle; invalid when it is not
    /// there.
    [[nodiscard]] service_index operator()(service_index from) const noexcept
    {
        return services_[from.position()];
    }

private:
    std::vector<upstream_index> upstreams_;
    std::vector<service_index> services_;
};

} // namespace peridotward
