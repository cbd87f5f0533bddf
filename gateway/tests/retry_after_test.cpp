#include <peridotward/gateway/retry_after.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace peridotward;

TEST_CASE("retry-after: seconds and fractions are read", "[retry_after]")
{
    CHECK(parse_retry_after("3") == milliseconds{3000});
    CHECK(parse_retry_after("0.25") == milliseconds{250});
    CHECK(parse_retry_after("1.0004") == milliseconds{1001});
    CHECK(parse_retry_after("0") == milliseconds{0});
}

TEST_CASE("retry-after: very long times are limited", "[retry_after]")
{
    CHECK(parse_retry_after("3601") == max_retry_after);
    CHECK(parse_retry_after("99999999999999999999") == max_retry_after);
    CHECK(parse_retry_after(std::string(400, '9')) == max_retry_after);
}

TEST_CASE(
    "retry-after: what is no number of seconds is ignored", "[retry_after]")
{
    for (const char* text :
         {"",
          "soon",
          "-1",
          "-0",
          "+1",
          "1e3",
          "0x10",
          "inf",
          "nan",
          "1,5",
          "3 s",
          "Fri, 04 Dec 2026 09:00:00 GMT"}) {
        INFO(text);
        CHECK_FALSE(parse_retry_after(text));
    }
}
