#pragma once

#include <peridotward/core/routing/forward_config.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief Smooth weighted round robin over the services of weighted routes.
///
/// \remarks After any number of requests, the count of each service differs
/// from its share by at most one request.
class weighted_round_robin
{
public:
    /// \returns The service for the next request on `route`.
    [[nodiscard]] forward_service_index next(const forward_route& route);

    /// \brief Discards all credits; call it when the routes change.
    void reset() noexcept { credits_.clear(); }

private:
    /// By route name: the share of each service minus the requests it got.
    std::unordered_map<std::string, std::vector<double>> credits_;
};

} // namespace peridotward
