#include <peridotward/core/admission/retry_schedule.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr int served_rate = 100;

/// \returns A schedule after ten seconds at `served_rate`.
retry_schedule steady_schedule()
{
    retry_schedule schedule;
    for (int i = 0; i < 10 * served_rate; ++i)
        schedule.on_served(
            start - seconds{10} + i * microseconds{1'000'000 / served_rate});
    return schedule;
}

} // namespace

TEST_CASE(
    "retry schedule: refused callers retry at half of the served rate",
    "[admission]")
{
    auto schedule = steady_schedule();
    const auto earliest = start + milliseconds{200};
    std::vector<milliseconds> waits;
    for (int i = 0; i < 120; ++i)
        waits.push_back(schedule.reserve(1, earliest, start));
    CHECK(*std::min_element(waits.begin(), waits.end()) == milliseconds{200});
    // New callers keep half of the served rate.
    for (const auto first : waits) {
        const auto in_same_second =
            std::count_if(waits.begin(), waits.end(), [&](auto time) {
                return time >= first && time < first + milliseconds{1000};
            });
        CHECK(
            in_same_second <=
            served_rate * retry_schedule::retry_share * 1.2 + 1);
    }
}

// Load pattern: all instances have lost power, and the callers that waited come
// at once.
TEST_CASE(
    "retry schedule: after a start, refused callers retry at half of the rate "
    "served since",
    "[admission]")
{
    retry_schedule schedule;
    auto now = start;
    for (; now < start + milliseconds{400}; now += milliseconds{10})
        schedule.on_served(now);
    milliseconds longest{};
    for (int i = 0; i < served_rate / 5; ++i)
        longest = std::max(longest, schedule.reserve(1, now, now));
    CHECK(longest <= milliseconds{1000});
}

TEST_CASE("retry schedule: more urgent callers retry first", "[admission]")
{
    auto schedule = steady_schedule();
    for (int i = 0; i < 50; ++i)
        (void)schedule.reserve(2, start, start);
    const auto urgent = schedule.reserve(1, start, start);
    CHECK(urgent <= milliseconds{1});
    const auto less_urgent = schedule.reserve(2, start, start);
    CHECK(less_urgent >= milliseconds{900});
    // Less urgent callers wait for the more urgent ones.
    for (int i = 0; i < 50; ++i)
        (void)schedule.reserve(1, start, start);
    CHECK(schedule.reserve(2, start, start) >= less_urgent + milliseconds{900});
}

TEST_CASE("retry schedule: no wait exceeds the maximum", "[admission]")
{
    retry_schedule schedule;
    for (int i = 0; i < 1000; ++i)
        CHECK(schedule.reserve(1, start, start) <= retry_schedule::max_wait);
    CHECK(
        schedule.reserve(1, start + seconds{60}, start) <=
        retry_schedule::max_wait);
}

TEST_CASE("retry schedule: retry times in the past are released", "[admission]")
{
    auto schedule = steady_schedule();
    for (int i = 0; i < 50; ++i)
        (void)schedule.reserve(1, start, start);
    CHECK(schedule.reserve(1, start, start) > milliseconds{500});
    const auto later = start + seconds{10};
    CHECK(schedule.reserve(1, later, later) <= milliseconds{1});
}

TEST_CASE(
    "retry schedule: callers refused during a pause return spread after it",
    "[admission]")
{
    auto schedule = steady_schedule();
    const auto pause_end = start + seconds{2};
    std::vector<time_point> returns;
    for (int i = 0; i < 60; ++i) {
        const auto now = start + i * milliseconds{30};
        returns.push_back(now + schedule.reserve(1, pause_end, now));
    }
    CHECK(*std::min_element(returns.begin(), returns.end()) >= pause_end);
    for (const auto first : returns) {
        const auto together =
            std::count_if(returns.begin(), returns.end(), [&](auto time) {
                return time >= first && time < first + milliseconds{100};
            });
        CHECK(
            together <=
            served_rate * retry_schedule::retry_share * 0.1 * 1.2 + 2);
    }
}
