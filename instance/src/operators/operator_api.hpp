#pragma once

#include "callers/caller_api.hpp"
#include "fleet/fleet_runner.hpp"

namespace peridotward {

/// Handles the requests of operators: state, metrics, health, traces and log
/// level.
class operator_api
{
public:
    operator_api(
        instance_state& state, const caller_api& callers, fleet_runner& fleet)
        : state_{&state}, callers_{&callers}, fleet_{&fleet}
    {}

    [[nodiscard]] http_response on_request(const http_request& request) const;

private:
    [[nodiscard]] http_response state_dump(const http_request& request) const;
    [[nodiscard]] http_response explain(std::string_view request_id) const;
    [[nodiscard]] http_response
    set_link_filter(const http_request& request) const;
    [[nodiscard]] json dump() const;

    instance_state* state_;
    const caller_api* callers_;
    fleet_runner* fleet_;
};

} // namespace peridotward
