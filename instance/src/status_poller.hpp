#pragma once

#include "node_state.hpp"
#include "upstream_gateway.hpp"

namespace peridotward {

/// Asks upstreams for their own report from time to time.
class status_poller
{
public:
    status_poller(node_state& state, upstream_gateway& gateway)
        : state_{&state}, gateway_{&gateway}
    {}

    void start() { poll_all(); }

private:
    void poll_all();

    node_state* state_;
    upstream_gateway* gateway_;
};

} // namespace peridotward
