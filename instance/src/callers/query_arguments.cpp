#include "callers/query_arguments.hpp"

namespace peridotward {

namespace {

result<double> parse_minimum_coverage(const json& body)
{
    const auto found = body.find("minimum_coverage");
    if (found == body.end())
        return 0.0;
    if (!found->is_number() || found->get<double>() < 0 ||
        found->get<double>() > 1)
        return fail(
            error_kind::bad_request,
            "minimum_coverage: expected 0..1, found " + found->dump());
    return found->get<double>();
}

result<std::string> parse_criteria(const json& body)
{
    const auto found = body.find("criteria");
    if (found == body.end())
        return std::string{"{}"};
    if (!found->is_object())
        return fail(
            error_kind::bad_request,
            "criteria: expected an object, found " + found->dump());
    return found->dump();
}

} // namespace

result<query_arguments> parse_query_arguments(const json& body)
{
    const auto minimum = parse_minimum_coverage(body);
    if (!minimum)
        return tl::unexpected{minimum.error()};
    auto criteria = parse_criteria(body);
    if (!criteria)
        return tl::unexpected{criteria.error()};
    return query_arguments{*minimum, std::move(*criteria)};
}

} // namespace peridotward
