#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error_kind.hpp>
#include <peridotward/base/json.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

TEST_CASE("json - a duplicate key is refused")
{
    const auto parsed = parse_json(R"({"a": 1, "b": {"a": 2}, "a": 3})");
    REQUIRE_FALSE(parsed);
    CHECK(
        parsed.error().message.find("\"a\" appears twice") !=
        std::string::npos);
    CHECK(parse_json(R"({"a": 1, "b": {"a": 2}})"));
}

TEST_CASE("json - 1 MiB of opening brackets is refused")
{
    const std::string brackets(1U << 20U, '[');
    CHECK_FALSE(parse_json(brackets));
}

TEST_CASE("json - comments are accepted only when allowed")
{
    CHECK(parse_json("// note\n{}", error_kind::bad_request, true));
    CHECK_FALSE(parse_json("// note\n{}"));
    CHECK_FALSE(parse_json("{} x"));
}

TEST_CASE("endpoint - host names and invalid ports are refused")
{
    CHECK(parse_endpoint("10.0.0.1:80"));
    CHECK_FALSE(parse_endpoint("localhost:80"));
    CHECK_FALSE(parse_endpoint("10.0.0.1:0"));
    CHECK_FALSE(parse_endpoint("10.0.0.1:65536"));
    CHECK_FALSE(parse_endpoint("10.0.0.1"));
}

TEST_CASE("error kinds - the table of answers is ordered by kind")
{
    for (std::size_t i = 0; i < error_answers.size(); ++i)
        CHECK(static_cast<std::size_t>(error_answers[i].kind) == i);
    CHECK(error_answers.back().kind == error_kind::internal);
}
