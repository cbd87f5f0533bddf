#pragma once

#include "callers/filter_chain.hpp"

namespace peridotward {

/// Refuses requests while no bundle is in force, else pins the bundle.
struct readiness_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Parses the JSON body of a POST request.
struct body_filter
{
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Reads the request id from the body or the query, or generates one.
struct request_id_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Determines the caller class, and thus the priority, from the caller's token.
struct caller_class_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Refuses a request whose id equals that of a request running on this
/// instance.
struct duplicate_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Converts the caller's `deadline_ms` to a point in time.
struct deadline_filter
{
    [[nodiscard]] result<void> apply(request_context& context) const;
};

} // namespace peridotward
