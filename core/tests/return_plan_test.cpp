#include <peridotward/core/admission/retry_schedule.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr int served_rate = 100;

/// A plan after ten seconds at `served_rate`.
retry_schedule steady_plan()
{
    retry_schedule plan;
    for (int i = 0; i < 10 * served_rate; ++i)
        plan.on_served(
            start - seconds{10} + i * microseconds{1'000'000 / served_rate});
    return plan;
}

} // namespace

TEST_CASE("returns: an outage's callers come back one by one", "[admission]")
{
    auto plan = steady_plan();
    const auto chance = start + milliseconds{200};
    std::vector<milliseconds> told;
    for (int i = 0; i < 120; ++i)
        told.push_back(plan.reserve(1, chance, start));
    CHECK(*std::min_element(told.begin(), told.end()) == milliseconds{200});
    // New callers keep half of what is served.
    for (const auto from : told) {
        const auto together =
            std::count_if(told.begin(), told.end(), [&](auto time) {
                return time >= from && time < from + milliseconds{1000};
            });
        CHECK(together <= served_rate * retry_schedule::retry_share * 1.2 + 1);
    }
}

TEST_CASE("returns: more urgent callers come first", "[admission]")
{
    auto plan = steady_plan();
    for (int i = 0; i < 50; ++i)
        (void)plan.reserve(2, start, start);
    const auto urgent = plan.reserve(1, start, start);
    CHECK(urgent <= milliseconds{1});
    const auto other = plan.reserve(2, start, start);
    CHECK(other >= milliseconds{900});
    // The less urgent ones wait for the more urgent ones.
    for (int i = 0; i < 50; ++i)
        (void)plan.reserve(1, start, start);
    CHECK(plan.reserve(2, start, start) >= other + milliseconds{900});
}

TEST_CASE(
    "returns: nobody is sent away for longer than it helps", "[admission]")
{
    retry_schedule plan;
    for (int i = 0; i < 1000; ++i)
        CHECK(plan.reserve(1, start, start) <= retry_schedule::max_wait);
    CHECK(
        plan.reserve(1, start + seconds{60}, start) <=
        retry_schedule::max_wait);
}

TEST_CASE(
    "returns: places that have passed are given away again", "[admission]")
{
    auto plan = steady_plan();
    for (int i = 0; i < 50; ++i)
        (void)plan.reserve(1, start, start);
    CHECK(plan.reserve(1, start, start) > milliseconds{500});
    const auto later = start + seconds{10};
    CHECK(plan.reserve(1, later, later) <= milliseconds{1});
}
