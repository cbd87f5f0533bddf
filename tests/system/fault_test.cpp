#include "test_fleet.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;
using peridotward::testing::test_fleet;

namespace {

constexpr int searches_per_fault = 12;

/// Runs searches while the first upstream of each shard has `fault`.
/// \returns How many answers were complete; every one must be right.
int run_with(test_fleet& fleet, const json& fault, int deadline_ms = 2000)
{
    fleet.set("left-1", fault);
    fleet.set("right-1", fault);
    int complete = 0;
    for (int i = 0; i < searches_per_fault; ++i) {
        const auto subject = fleet.subject(static_cast<std::size_t>(i));
        const auto answer = fleet.search(subject, deadline_ms);
        CAPTURE(fault.dump(), i, answer.status, answer.body);
        CHECK((answer.status == 200 || answer.status == 206));
        CHECK(fleet.right(subject, answer));
        complete += answer.status == 200 ? 1 : 0;
    }
    return complete;
}

const json whole{
    {"cut_at", 1.0},
    {"reset", false},
    {"half_close", false},
    {"hang", false},
    {"close", false},
    {"drip", false},
    {"body", "none"}};

json with(const char* member, const json& value)
{
    auto fault = whole;
    fault[member] = value;
    return fault;
}

} // namespace

TEST_CASE("spoiled answers of one replica never reach a caller")
{
    test_fleet fleet;
    for (const char* fault :
         {"wrong_snapshot",
          "wrong_range",
          "wrong_request",
          "wrong_count",
          "previous",
          "garbage"}) {
        CHECK(run_with(fleet, with("body", fault)) == searches_per_fault);
    }
}

TEST_CASE("broken connections of one replica cost no coverage")
{
    test_fleet fleet;
    for (int tenth = 0; tenth < 10; ++tenth) {
        const auto complete = run_with(fleet, with("cut_at", tenth / 10.0));
        CHECK(complete == searches_per_fault);
    }
    for (const char* fault : {"reset", "half_close", "close"})
        CHECK(run_with(fleet, with(fault, true)) == searches_per_fault);
}

TEST_CASE("a replica that stays silent or drips spoils no answer")
{
    test_fleet fleet;
    for (const char* fault : {"hang", "drip"})
        run_with(fleet, with(fault, true), 500);
    run_with(fleet, whole);
}

TEST_CASE("an answer states what a lost shard leaves out")
{
    test_fleet fleet;
    fleet.set("right", {{"shed", true}});
    const auto subject = fleet.subject(1);
    const auto answer = fleet.search(subject, 500);
    CAPTURE(answer.body);
    REQUIRE(answer.status == 206);
    CHECK(fleet.right(subject, answer));
    CHECK(find_header(answer.headers, "answer") == "partial");
    const auto body = json::parse(answer.body);
    CHECK(body.at("coverage").at("fraction") == 0.5);
}
