#include "system_fixture.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;
using peridotward::testing::system_fixture;

namespace {

constexpr int searches_per_fault = 12;

/// Runs searches while the first upstream of each shard has `fault`, and checks
/// that every answer is correct.
/// \returns The number of complete answers.
int count_complete_answers(
    system_fixture& fixture, const json& fault, int deadline_ms = 2000)
{
    fixture.change_upstreams("left-1", fault);
    fixture.change_upstreams("right-1", fault);
    int complete = 0;
    for (int i = 0; i < searches_per_fault; ++i) {
        const auto subject = fixture.subject(static_cast<std::size_t>(i));
        const auto answer = fixture.search(subject, deadline_ms);
        CAPTURE(fault.dump(), i, answer.status, answer.body);
        CHECK((answer.status == 200 || answer.status == 206));
        CHECK(fixture.is_correct(subject, answer));
        complete += answer.status == 200 ? 1 : 0;
    }
    return complete;
}

const json no_fault{
    {"cut_at", 1.0},
    {"reset", false},
    {"half_close", false},
    {"hang", false},
    {"close", false},
    {"drip", false},
    {"body", "none"}};

json make_fault(const char* member, const json& value)
{
    auto fault = no_fault;
    fault[member] = value;
    return fault;
}

} // namespace

TEST_CASE(
    "corrupt answers of one upstream per shard never reach a caller",
    "[spoiled_answers]")
{
    system_fixture fixture;
    for (const char* fault :
         {"wrong_snapshot",
          "wrong_range",
          "wrong_request",
          "wrong_count",
          "previous",
          "garbage"}) {
        CHECK(
            count_complete_answers(fixture, make_fault("body", fault)) ==
            searches_per_fault);
    }
}

TEST_CASE(
    "broken connections of one upstream per shard leave every answer complete",
    "[broken_connections]")
{
    system_fixture fixture;
    for (int tenth = 0; tenth < 10; ++tenth) {
        const auto complete =
            count_complete_answers(fixture, make_fault("cut_at", tenth / 10.0));
        CHECK(complete == searches_per_fault);
    }
    for (const char* fault : {"reset", "half_close", "close"})
        CHECK(
            count_complete_answers(fixture, make_fault(fault, true)) ==
            searches_per_fault);
}

TEST_CASE(
    "answers stay correct while one upstream per shard hangs or drips",
    "[silent_replica]")
{
    system_fixture fixture;
    for (const char* fault : {"hang", "drip"})
        count_complete_answers(fixture, make_fault(fault, true), 500);
    count_complete_answers(fixture, no_fault);
}

TEST_CASE(
    "an answer without one of two shards is partial with coverage 0.5",
    "[lost_shard]")
{
    system_fixture fixture;
    fixture.change_upstreams("right", {{"shed", true}});
    const auto subject = fixture.subject(1);
    const auto answer = fixture.search(subject, 500);
    CAPTURE(answer.body);
    REQUIRE(answer.status == 206);
    CHECK(fixture.is_correct(subject, answer));
    CHECK(find_header(answer.headers, "answer") == "partial");
    const auto body = json::parse(answer.body);
    CHECK(body.at("coverage").at("fraction") == 0.5);
}
