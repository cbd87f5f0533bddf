#include <peridotward/gateway/gateway_settings.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace peridotward;

namespace {

std::string settings_text(
    const std::string& limits = R"("repeat_extra": 56, "grace_s": 6)",
    const std::string& store = "10.0.0.9:8000")
{
    return R"({
        "instance": {
            "id": "i-1", "domain": "d", "region": "r", "cores": 0.25},
        "listen": {
            "callers": "10.0.0.1:80", "ready": "10.0.0.1:81",
            "directory": "10.0.0.1:82", "control": "10.0.0.1:83",
            "metrics": "10.0.0.1:84", "peers": "10.0.0.1:85"},
        "seeds": ["10.0.0.2:83"], // by their control address
        "store": ")" +
           store + R"(",
        "limits": {
            "repeat_ratio": 0.2, "repeat_window_s": 10, "cold_over": 1.5,
            "cold_slack": 5, )" +
           limits + "}}";
}

gateway_settings parsed(const std::string& text)
{
    auto settings = parse_gateway_settings(text);
    REQUIRE(settings);
    return *settings;
}

} // namespace

TEST_CASE("settings: seeds get the port of the peers' address", "[settings]")
{
    const auto settings = parsed(settings_text());
    CHECK(settings.capacity == 250);
    CHECK(settings.seeds.front() == endpoint{"10.0.0.2", 85});
    CHECK(settings.shutdown_grace == seconds{6});
}

TEST_CASE("settings: half of the memory is for large messages", "[settings]")
{
    CHECK(
        parsed(settings_text()).message_memory() ==
        memory_budget::default_capacity);
    auto text = settings_text();
    text.replace(text.find("\"cores\": 0.25"), 0, "\"memory_mb\": 260.5, ");
    CHECK(parsed(text).message_memory() == std::size_t{130} << 20U);
    text.replace(text.find("260.5"), 5, "-1");
    CHECK_FALSE(parse_gateway_settings(text));
}

TEST_CASE(
    "settings: quota limits may be absent and are not confused", "[settings]")
{
    const auto absent = parsed(settings_text());
    CHECK(absent.quotas == quota_bounds{seconds{5}, 0.25, 20});
    const auto set = parsed(settings_text(
        R"("repeat_extra": 56, "grace_s": 6, "quota_window_s": 2.5,
           "quota_over": 0.1, "quota_slack": 7)"));
    CHECK(set.quotas == quota_bounds{milliseconds{2500}, 0.1, 7});
    CHECK(changed_settings(absent, set) == "limits.quota");
    CHECK(may_reload(absent, set));
}

TEST_CASE("settings: changed limits need no restart", "[settings]")
{
    const auto before = parsed(settings_text());
    CHECK(changed_settings(before, before).empty());
    const auto after =
        parsed(settings_text(R"("repeat_extra": 40, "grace_s": 9)"));
    CHECK(changed_settings(before, after) == "limits.repeat,limits.grace_s");
    CHECK(may_reload(before, after));
}

TEST_CASE("settings: a changed store address needs a restart", "[settings]")
{
    const auto before = parsed(settings_text());
    const auto after = parsed(
        settings_text(R"("repeat_extra": 56, "grace_s": 6)", "10.0.0.8:8000"));
    CHECK(changed_settings(before, after) == "store");
    CHECK_FALSE(may_reload(before, after));
}

TEST_CASE(
    "settings: an error message holds the invalid setting and its value",
    "[settings]")
{
    const auto wrong = parse_gateway_settings(
        settings_text(R"("repeat_extra": -1, "grace_s": 6)"));
    REQUIRE_FALSE(wrong);
    CHECK(wrong.error().message.find("repeat_extra") != std::string::npos);
    CHECK(wrong.error().message.find("-1") != std::string::npos);
    CHECK_FALSE(parse_gateway_settings("{"));
}
