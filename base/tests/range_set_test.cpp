#include <peridotward/base/range_set.hpp>

#include <catch2/catch.hpp>

using peridotward::key_range;
using peridotward::range_set;

TEST_CASE("range_set - adjacent ranges are merged")
{
    range_set set;
    CHECK(set.add({10, 20}));
    CHECK(set.add({30, 40}));
    CHECK(set.add({20, 30}));
    CHECK(set.ranges() == std::vector<key_range>{{10, 40}});
    CHECK(set.size() == 30);
}

TEST_CASE("range_set - overlapping and empty ranges are refused")
{
    range_set set;
    CHECK(set.add({10, 20}));
    CHECK_FALSE(set.add({19, 21}));
    CHECK_FALSE(set.add({5, 11}));
    CHECK_FALSE(set.add({12, 13}));
    CHECK_FALSE(set.add({7, 7}));
    CHECK(set.size() == 10);
}

TEST_CASE("range_set - missing ranges are returned in ascending order")
{
    range_set set;
    CHECK(set.add({10, 20}));
    CHECK(set.add({30, 40}));
    CHECK(
        set.missing({0, 50}) ==
        std::vector<key_range>{{0, 10}, {20, 30}, {40, 50}});
    CHECK(set.missing({12, 18}).empty());
}
