#pragma once

#include "filter_chain.hpp"

#include <set>

namespace peridotward {

/// Refuses while the instance cannot serve, and pins the bundle.
struct readiness_filter
{
    node_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Parses the body of a POST.
struct body_filter
{
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Takes the request's id, or makes one.
struct identity_filter
{
    node_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Turns the caller's deadline into a point in time.
struct deadline_filter
{
    [[nodiscard]] result<void> apply(request_context& context) const;
};

} // namespace peridotward
