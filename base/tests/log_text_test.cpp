#include <peridotward/base/log_text.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

TEST_CASE("log text: a written time parses to the same time", "[log]")
{
    for (const std::int64_t count :
         {0LL, 951'782'400'001LL, 1'796'351'115'123LL}) {
        const wall_time time{milliseconds{count}};
        std::string text;
        append_log_time(text, time);
        CHECK(parse_log_time(text) == time);
    }
    std::string text;
    append_log_time(text, wall_time{milliseconds{1'796'351'115'123}});
    CHECK(text == "2026-12-04T02:25:15.123Z");
}

TEST_CASE("log text: text in another format is not a time", "[log]")
{
    CHECK_FALSE(parse_log_time(""));
    CHECK_FALSE(parse_log_time("2026-12-04T02:25:15.123"));
    CHECK_FALSE(parse_log_time("2026-13-04T02:25:15.123Z"));
    CHECK_FALSE(parse_log_time("2026-12-04 02:25:15.123Z"));
    CHECK_FALSE(parse_log_time("2026-12-04T02:25:15.12xZ"));
}
