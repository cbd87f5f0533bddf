#include <peridotward/core/query/answer_check.hpp>
#include <peridotward/core/query/query_plan.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

json make_answer(std::uint64_t count)
{
    auto body = json::parse(R"({
        "request": "r1", "service": "s1", "snapshot": 7, "range": [10, 20],
        "records": [{"key": 11}, {"key": 15}]})");
    body["count"] = count;
    return body;
}

const expected_answer expected{"r1", "s1", {10, 20}, 7};

} // namespace

TEST_CASE("answer check - a complete answer is accepted")
{
    CHECK(check_answer(make_answer(2), expected) == attempt_outcome::answered);
}

TEST_CASE("answer check - a mismatch gives the outcome that names it")
{
    CHECK(check_answer(make_answer(3), expected) == attempt_outcome::malformed);
    auto other = make_answer(2);
    other["request"] = "r2";
    CHECK(check_answer(other, expected) == attempt_outcome::wrong_request);
    other = make_answer(2);
    other["snapshot"] = 6U;
    CHECK(check_answer(other, expected) == attempt_outcome::wrong_snapshot);
    other = make_answer(2);
    other["range"] = {10, 21};
    CHECK(check_answer(other, expected) == attempt_outcome::wrong_range);
    other = make_answer(2);
    other["records"][1]["key"] = 11U;
    CHECK(check_answer(other, expected) == attempt_outcome::malformed);
}

TEST_CASE("query plan - key ranges between shards are reported as uncovered")
{
    shard_map map;
    map.key_space = 100;
    map.shards = {{service_index{0}, {0, 40}}, {service_index{1}, {60, 100}}};
    const auto plan = make_plan(map, {20, 100});
    REQUIRE(plan.parts.size() == 2);
    CHECK(plan.parts[0].range == key_range{20, 40});
    CHECK(plan.uncovered_ranges == std::vector<key_range>{{40, 60}});
}
