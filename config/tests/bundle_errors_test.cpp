#include "sample_bundle.hpp"

#include <peridotward/config/bundle.hpp>
#include <peridotward/config/bundle_diff.hpp>
#include <peridotward/config/settings.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::testing;

namespace {

/// A wrong member and the text that the error message must contain.
struct wrong_member
{
    const char* pointer;
    json value;
    const char* expected;
};

const std::vector<wrong_member> wrong_members{
    {"/versoin", 1, "versoin: is not a known key"},
    {"/version", "1", "version: expected an integer"},
    {"/version", 0, "version: expected an integer"},
    {"/version", -1, "version: expected an integer"},
    {"/version", 1.5, "version: expected an integer"},
    {"/seats", json::array(), "seats: is empty"},
    {"/domains/0/state", "off", "domains[0].state: \"off\""},
    {"/domains/1/id", "domain-0", "domains[1].id: \"domain-0\" appears twice"},
    {"/domains/0/max_in_flight", 0, "domains[0].max_in_flight"},
    {"/seats/2/domain", "mars", "seats[2].domain: \"mars\" is not defined"},
    {"/services/0/slots", 0, "services[0].slots: expected an integer in 1"},
    {"/services/0/slots", "4", "services[0].slots"},
    {"/services/0/connections", 3, "services[0].connections"},
    {"/services/0/cold_slots", 0, "services[0].cold_slots"},
    {"/services/0/cold_slots", 5, "services[0].cold_slots"},
    {"/services/0/cold_ramp_ms", 0, "services[0].cold_ramp_ms"},
    {"/services/0/cold_ramp", "5 s", "services[0].cold_ramp: is not a known"},
    {"/upstreams/0/service", "x", "upstreams[0].service: \"x\" is not defined"},
    {"/upstreams/0/address", "localhost:1", "upstreams[0].address"},
    {"/upstreams/0/address", "127.34.0.2:9000", "upstreams[1].address"},
    {"/shard_maps/0/shards/1/range", {500, 1500}, "shards[1].range: overlaps"},
    {"/shard_maps/0/shards/1/range", {1500, 1000}, "shards[1].range: expected"},
    {"/shard_maps/0/shards/1/range", {1000, 9000}, "shards[1].range: expected"},
    {"/shard_maps/0/shards/1/service", "x", "shards[1].service: \"x\""},
    {"/searches/0/map", "x", "searches[0].map: \"x\" is not defined"},
    {"/searches/0/policy/max_queued", 0, "policy.max_queued"},
    {"/searches/0/policy/coverage_target", 1.1, "policy.coverage_target"},
    {"/searches/0/policy/default_deadline_ms", 0, "default_deadline_ms"},
    {"/searches/0/policy/max_deadline_ms", "1 s", "max_deadline_ms"},
};

std::string error_of(const std::string& text)
{
    const auto parsed = parse_bundle(text);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().kind == error_kind::config_invalid);
    CHECK(parsed.error().message.find('\n') == std::string::npos);
    CHECK(parsed.error().message.size() < 400);
    return parsed.error().message;
}

} // namespace

TEST_CASE("bundle errors - a wrong member is named with path and expectation")
{
    for (const auto& entry : wrong_members) {
        auto document = sample_bundle(1);
        document[json::json_pointer{entry.pointer}] = entry.value;
        CAPTURE(entry.pointer);
        CHECK_THAT(error_of(document.dump()), Catch::Contains(entry.expected));
    }
}

TEST_CASE("bundle errors - a service without an upstream is refused")
{
    auto document = sample_bundle(1);
    document["services"].push_back(document["services"][0]);
    document["services"].back()["id"] = "lonely";
    CHECK_THAT(
        error_of(document.dump()),
        Catch::Contains("\"lonely\" has no upstream"));
}

TEST_CASE("bundle errors - text that is not one JSON object is refused")
{
    const auto good = sample_bundle(1).dump();
    CHECK(parse_bundle(good));
    CHECK(parse_bundle("// note\n" + good));
    CHECK_THAT(error_of(good + "x"), Catch::Contains("line 1"));
    CHECK_THAT(error_of("{\n\"version\": 1,\n}"), Catch::Contains("line 3"));
    CHECK_THAT(
        error_of(R"({"version": 1, "version": 2})"),
        Catch::Contains("\"version\" appears twice"));
    CHECK_THAT(
        error_of(std::string(1U << 20U, '[')), Catch::Contains("nested"));
    error_of("");
    error_of("null");
    error_of("[]");
}

TEST_CASE("bundle diff - changes are described, risky ones give warnings")
{
    const auto compare = [](const json& changed) {
        const auto before = build_bundle(sample_bundle(1)).value();
        const auto after = parse_bundle(changed.dump()).value();
        const auto found = diff_bundles(*before, *after);
        std::string text;
        for (const auto& line : found.changes)
            text += line + "\n";
        for (const auto& line : found.warnings)
            text += "warning: " + line + "\n";
        return text;
    };
    auto after = sample_bundle(2);
    SECTION("an upstream is set to out")
    {
        after["upstreams"][0]["state"] = "out";
        CHECK(
            compare(after) ==
            "bundle: version 1 to 2\n"
            "upstream \"certify-0-0\": state in to out\n"
            "warning: search \"exposure\": capacity falls from 48 to 44 "
            "slots\n");
    }
    SECTION("slots change")
    {
        after["services"][1]["slots"] = 2;
        CHECK_THAT(
            compare(after),
            Catch::Contains("service \"certify-1\": slots 4 to 2\n"));
    }
    SECTION("all replicas of a service are set to out")
    {
        for (int i = 0; i < 3; ++i)
            after["upstreams"][i]["state"] = "out";
        CHECK_THAT(
            compare(after),
            Catch::Contains("warning: service \"certify-0\": no upstream"));
    }
    SECTION("a domain is set to out")
    {
        after["domains"][1]["state"] = "out";
        CHECK_THAT(
            compare(after),
            Catch::Contains("domain \"domain-1\": state in to out\n"));
    }
    SECTION("a shard is split in a new map")
    {
        auto map = after["shard_maps"][0];
        map["from_snapshot"] = 9;
        map["shards"][0]["range"] = {0, 500};
        map["shards"].insert(
            map["shards"].begin() + 1,
            json{{"service", "certify-1"}, {"range", {500, 1000}}});
        after["shard_maps"].push_back(map);
        CHECK_THAT(
            compare(after),
            Catch::Contains("shard [0, 1000) of \"certify-0\" split into 2"));
    }
    SECTION("a shard and two instances are removed")
    {
        after["shard_maps"][0]["shards"].erase(3);
        after["seats"].erase(7);
        after["seats"].erase(6);
        const auto text = compare(after);
        CHECK_THAT(
            text, Catch::Contains("keys [3000, 4000) are served by no shard"));
        CHECK_THAT(text, Catch::Contains("warning: 2 seats change at once"));
    }
    SECTION("the version does not increase")
    {
        after["version"] = 1;
        CHECK_THAT(compare(after), Catch::Contains("instances refuse it"));
    }
}
