#include <peridotward/gateway/load_field.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace peridotward;

TEST_CASE("load field: the load is read without a speed", "[load_field]")
{
    const auto load = parse_load_field("3,5,4");
    REQUIRE(load);
    CHECK(load->running == 3);
    CHECK(load->waiting == 5);
    CHECK(load->slots == 4);
    CHECK(load->speed == 0);
}

TEST_CASE("load field: the fourth value is the speed", "[load_field]")
{
    const auto load = parse_load_field("3,5,4,250");
    REQUIRE(load);
    CHECK(load->slots == 4);
    CHECK(load->speed == 250);
    CHECK(parse_load_field("3,5,4,130,9")->speed == 130);
}

TEST_CASE(
    "load field: a wrong speed doesn't spoil the rest of the report",
    "[load_field]")
{
    for (const char* speed :
         {"",
          "0",
          "-250",
          "+250",
          "fast",
          "2.5",
          "0x64",
          "nan",
          " 250",
          "250 "}) {
        INFO(speed);
        const auto load = parse_load_field(std::string{"3,5,4,"} + speed);
        REQUIRE(load);
        CHECK(load->running == 3);
        CHECK(load->speed == 0);
    }
}

TEST_CASE("load field: extreme speeds are limited", "[load_field]")
{
    CHECK(parse_load_field("0,0,4,1")->speed == reported_load::min_speed);
    for (const std::string speed : {"100000", "4294967296"})
        CHECK(
            parse_load_field("0,0,4," + speed)->speed ==
            reported_load::max_speed);
    CHECK(
        parse_load_field("0,0,4," + std::string(400, '9'))->speed ==
        reported_load::max_speed);
}

TEST_CASE(
    "load field: a report without its first three values is ignored",
    "[load_field]")
{
    for (const char* text : {"", "1", "1,2", "1,2,", ",,,250", "a,2,3,250"}) {
        INFO(text);
        CHECK_FALSE(parse_load_field(text));
    }
}
