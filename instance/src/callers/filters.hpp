#pragma once

#include "callers/filter_chain.hpp"

namespace peridotward {

/// Refuses while the instance cannot serve, and pins the bundle.
struct readiness_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Parses the body of a POST.
struct body_filter
{
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Takes the request's id, or makes one.
struct request_id_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Finds the caller's class from its token.
struct caller_class_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Refuses a request whose id is that of a request still running here.
struct duplicate_filter
{
    instance_state* state;
    [[nodiscard]] result<void> apply(request_context& context) const;
};

/// Turns the caller's deadline into a point in time.
struct deadline_filter
{
    [[nodiscard]] result<void> apply(request_context& context) const;
};

} // namespace peridotward
