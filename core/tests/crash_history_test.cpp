#include <peridotward/core/quarantine/crash_history.hpp>
#include <peridotward/core/quarantine/interrupted_requests.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr request_fingerprints request(std::uint64_t caller, std::uint64_t path)
{
    return {
        request_fingerprint{1000 * path + caller},
        request_fingerprint{1000 * path}};
}

constexpr auto crashing = request(1, 1);
constexpr auto harmless = request(1, 2);

/// Sends the request once and lets it crash its upstream.
void crash(
    crash_history& history, const request_fingerprints& sent, time_point now)
{
    history.on_crash(sent, history.marks_of(sent, now), now);
}

} // namespace

TEST_CASE("crash history: the third crash in a row quarantines", "[quarantine]")
{
    crash_history history;
    CHECK(history.trust(crashing, start) == request_trust::trusted);
    crash(history, crashing, start);
    CHECK(history.trust(crashing, start) == request_trust::suspected);
    crash(history, crashing, start);
    CHECK(history.trust(crashing, start) == request_trust::suspected);
    crash(history, crashing, start);
    CHECK(history.trust(crashing, start) == request_trust::quarantined);
    CHECK(history.quarantined() == 1);
    CHECK(
        history.quarantined_until(crashing, start) ==
        start + crash_history::retention);
    history.expire(start + crash_history::retention);
    CHECK(history.size() == 0);
}

// Guards against requests that are refused since many upstreams lost power at
// the same time.
TEST_CASE(
    "crash history: crashes at the same time raise the level once",
    "[quarantine]")
{
    crash_history history;
    const auto sent_with = history.marks_of(harmless, start);
    for (int i = 0; i < 10; ++i)
        history.on_crash(harmless, sent_with, start);
    CHECK(history.marks_of(harmless, start).level() == 1);
}

// Guards against a request that comes from another machine of its caller each
// time.
TEST_CASE(
    "crash history: similar requests of several callers count together",
    "[quarantine]")
{
    crash_history history;
    for (std::uint64_t caller = 1; caller <= 3; ++caller)
        crash(history, request(caller, 1), start);
    CHECK(history.trust(request(4, 1), start) == request_trust::quarantined);
    CHECK(history.trust(request(4, 2), start) == request_trust::trusted);
}

TEST_CASE(
    "crash history: another caller's similar request is only suspected",
    "[quarantine]")
{
    crash_history history;
    for (int i = 0; i < 3; ++i)
        crash(history, crashing, start);
    CHECK(history.trust(crashing, start) == request_trust::quarantined);
    CHECK(history.trust(request(2, 1), start) == request_trust::suspected);
    history.on_answered(request(2, 1), start);
    CHECK(history.trust(request(2, 1), start) == request_trust::trusted);
    CHECK(history.trust(crashing, start) == request_trust::quarantined);
}

TEST_CASE("crash history: an answer clears a request", "[quarantine]")
{
    crash_history history;
    crash(history, harmless, start);
    crash(history, harmless, start);
    const auto sent_before = history.marks_of(harmless, start);
    history.on_answered(harmless, start);
    CHECK(history.trust(harmless, start) == request_trust::trusted);

    SECTION("answered lately, it is not suspected")
    {
        crash(history, harmless, start + seconds{1});
        CHECK(
            history.trust(harmless, start + seconds{1}) ==
            request_trust::trusted);
    }
    SECTION("an attempt from before the answer starts a new chain")
    {
        const auto later = start + crash_history::answer_memory;
        history.on_crash(harmless, sent_before, later);
        CHECK(history.marks_of(harmless, later).level() == 1);
    }
    SECTION("what others know from before doesn't return")
    {
        history.merge({harmless.exact, 0, 2, 100}, start + seconds{15});
        CHECK(
            history.trust(harmless, start + seconds{15}) ==
            request_trust::trusted);
    }
}

TEST_CASE(
    "crash history: an instance that answered a request clears it for all",
    "[quarantine]")
{
    crash_history history;
    history.on_answered(harmless, start);
    CHECK_FALSE(history.merge({harmless.exact, 0, 3, 100}, start + seconds{1}));
    const auto told = history.take_changed(10, start + seconds{1});
    REQUIRE(told.size() == 1);
    CHECK(told.front().generation == 1);
    CHECK(told.front().level == 0);
}

TEST_CASE(
    "crash history: records that others repeat are not kept for longer",
    "[quarantine]")
{
    crash_history history;
    CHECK(history.merge({crashing.exact, 0, 3, 60}, start));
    CHECK_FALSE(
        history.merge({crashing.exact, 0, 3, 600}, start + seconds{30}));
    CHECK(history.quarantined_until(crashing, start) == start + seconds{60});
    CHECK_FALSE(history.merge({crashing.exact, 0, 3, 0}, start + seconds{90}));
    CHECK(
        history.trust(crashing, start + seconds{90}) == request_trust::trusted);
}

TEST_CASE(
    "crash history: many requests leave the quarantined ones in bounded memory",
    "[quarantine]")
{
    crash_history history;
    for (int i = 0; i < 3; ++i)
        crash(history, crashing, start);
    for (std::uint64_t i = 0; i < 3 * crash_history::max_records; ++i) {
        const auto other = request(1, 100 + i);
        crash(history, other, start + seconds{1});
        history.merge({other.exact, 0, 2, 600}, start + seconds{1});
    }
    CHECK(history.size() == crash_history::max_records);
    CHECK(
        history.trust(crashing, start + seconds{1}) ==
        request_trust::quarantined);
    const auto told = history.take_changed(100, start + seconds{1});
    CHECK(told.size() == 100);
}

TEST_CASE(
    "interrupted requests: only those of the crashed replica are taken",
    "[quarantine]")
{
    interrupted_requests interrupted;
    interrupted.add({1, crashing, {}, start});
    interrupted.add({2, harmless, {}, start});
    interrupted.add({1, harmless, {}, start + seconds{3}});
    CHECK(interrupted.take(3, start + seconds{4}).empty());
    const auto taken = interrupted.take(1, start + seconds{4});
    REQUIRE(taken.size() == 2);
    CHECK(taken.front().request.exact == crashing.exact);
    CHECK(interrupted.take(2, start + seconds{6}).empty());
    for (std::size_t i = 0; i < 2 * interrupted_requests::max_requests; ++i)
        interrupted.add({5, crashing, {}, start + seconds{7}});
    CHECK(
        interrupted.take(5, start + seconds{7}).size() ==
        interrupted_requests::max_requests);
}
