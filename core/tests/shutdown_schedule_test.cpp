#include <peridotward/core/admission/shutdown_schedule.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

constexpr time_point begin{seconds{100}};
constexpr milliseconds grace{6000};

forward_times times_from(time_point arrived, milliseconds timeout)
{
    forward_times times;
    times.arrived = arrived;
    times.full_value_until = arrived + timeout / 4;
    times.answer_deadline = arrived + timeout;
    times.caller_deadline = arrived + timeout;
    return times;
}

latency_profile profile_of(milliseconds latency)
{
    latency_profile profile;
    for (std::uint32_t i = 0; i < latency_profile::min_answers; ++i)
        profile.add(latency);
    return profile;
}

} // namespace

// Guards against requests that are taken late in the grace time and cut at its
// end.
TEST_CASE(
    "shutdown: a request that may run once is taken only if all of its time "
    "fits",
    "[shutdown]")
{
    const shutdown_schedule schedule{begin, grace};
    const auto fits = [&](milliseconds at, milliseconds timeout) {
        return schedule.fits(
            times_from(begin + at, timeout),
            retry_safety::at_most_once,
            profile_of(milliseconds{40}),
            begin + at);
    };
    CHECK(fits(milliseconds{0}, milliseconds{4000}));
    CHECK(fits(milliseconds{1600}, milliseconds{4000}));
    CHECK_FALSE(fits(milliseconds{1601}, milliseconds{4000}));
    CHECK_FALSE(fits(milliseconds{3150}, milliseconds{4000}));
    CHECK(fits(milliseconds{3150}, milliseconds{400}));
    CHECK_FALSE(fits(milliseconds{0}, milliseconds{6000}));
}

TEST_CASE(
    "shutdown: a request that may be repeated is taken if it is expected to "
    "fit",
    "[shutdown]")
{
    const shutdown_schedule schedule{begin, grace};
    const auto fits = [&](milliseconds at, const latency_profile& profile) {
        return schedule.fits(
            times_from(begin + at, milliseconds{4000}),
            retry_safety::idempotent,
            profile,
            begin + at);
    };
    CHECK(fits(milliseconds{3300}, profile_of(milliseconds{40})));
    CHECK_FALSE(fits(milliseconds{3300}, profile_of(milliseconds{1200})));
    // Without known latencies, all of its time must fit.
    CHECK_FALSE(fits(milliseconds{3300}, {}));
    CHECK(fits(milliseconds{1600}, {}));
    CHECK_FALSE(fits(milliseconds{5600}, profile_of(milliseconds{40})));
}

TEST_CASE("shutdown: no deadline lies after the last answers", "[shutdown]")
{
    const shutdown_schedule schedule{begin, grace};
    CHECK(schedule.answer_by() < schedule.exit_by());
    CHECK(schedule.exit_by() < begin + grace);
    const auto limited = schedule.limit(
        times_from(begin + milliseconds{3000}, milliseconds{4000}));
    CHECK(limited.answer_deadline == schedule.answer_by());
    CHECK(limited.caller_deadline == schedule.answer_by());
    const auto kept = schedule.limit(times_from(begin, milliseconds{400}));
    CHECK(kept.answer_deadline == begin + milliseconds{400});
    // Without a grace time all requests end at once.
    CHECK(shutdown_schedule{begin, {}}.answer_by() == begin);
}
