#pragma once

#include "callers/request_context.hpp"

#include <concepts>
#include <tuple>

namespace peridotward {

/// A step that adds to a request's context or refuses the request.
template<class Filter>
concept request_filter = requires(Filter& filter, request_context& context)
{
    {
        filter.apply(context)
        } -> std::same_as<result<void>>;
};

/// Applies filters in order until one refuses the request.
template<request_filter... Filters>
class filter_chain
{
public:
    explicit filter_chain(Filters... filters) : filters_{std::move(filters)...}
    {}

    [[nodiscard]] result<void> apply(request_context& context)
    {
        result<void> outcome;
        std::apply(
            [&](Filters&... filter) {
                (void)((outcome = filter.apply(context)).has_value() && ...);
            },
            filters_);
        return outcome;
    }

private:
    std::tuple<Filters...> filters_;
};

} // namespace peridotward
