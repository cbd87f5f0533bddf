#pragma once

#include <peridotward/core/routing/forward_config.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief Deals the requests of weighted routes to their services.
///
/// \remarks Smooth: in every run of requests each service is within one
/// request of its share.
class weighted_turn
{
public:
    /// \returns The service of the next request on `route`.
    [[nodiscard]] forward_service_index next(const forward_route& route);

    /// \brief Forgets all credits; the routes have changed.
    void reset() noexcept { credits_.clear(); }

private:
    std::unordered_map<std::string, std::vector<double>> credits_;
};

} // namespace peridotward
