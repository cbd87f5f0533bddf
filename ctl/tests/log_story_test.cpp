#include "log_story.hpp"

#include <peridotward/base/log_text.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::ctl;

namespace {

/// A line at `milliseconds` after noon, of a process whose clock began at
/// `began` milliseconds.
std::string line(
    int after_noon,
    int began,
    const std::string& instance,
    const std::string& rest,
    int civil_error = 0)
{
    std::string text = "time=";
    append_log_time(
        text,
        wall_time{std::chrono::sys_days{
            std::chrono::year{2026} / std::chrono::December / 4}} +
            std::chrono::hours{12} + milliseconds{after_noon + civil_error});
    text += " t=" + std::to_string((began + after_noon) * 1000);
    return text + " instance=" + instance + " " + rest + "\n";
}

std::vector<std::string> events_of(const std::vector<log_line>& story)
{
    std::vector<std::string> events;
    for (const auto& entry : story)
        events.push_back(entry.instance + " " + entry.event);
    return events;
}

} // namespace

TEST_CASE("log story: lines of all machines come in time order", "[explain]")
{
    log_story logs;
    logs.read(
        line(
            100,
            9000,
            "b",
            "event=attempt_failed request=r1 replica=x "
            "outcome=refused") +
        line(
            300,
            9000,
            "b",
            "event=request_end request=r1 outcome=not_run "
            "took=5.0ms parts=10 in=0 repeats=0"));
    logs.read(
        line(
            200,
            10,
            "a",
            "event=attempt_failed request=r1 replica=y "
            "outcome=broken") +
        line(210, 10, "a", "event=request_end request=r2 outcome=complete"));
    const auto story = logs.of("r1");
    CHECK(
        events_of(story) ==
        std::vector<std::string>{
            "b attempt_failed", "a attempt_failed", "b request_end"});
    CHECK(
        log_story::verdict(story) ==
        "not_run, 0 of 10 parts in 5.0ms: 1 attempt broken at y; "
        "1 attempt refused at x");
    CHECK(logs.unreadable() == 0);
}

TEST_CASE("log story: a civil clock that jumps moves nothing", "[explain]")
{
    log_story logs;
    logs.read(
        line(0, 0, "a", "event=started") + line(100, 0, "a", "event=ready") +
        line(
            400, 0, "a", "event=request_end request=r1 outcome=partial", 7000));
    logs.read(line(300, 50, "b", "event=attempt_failed request=r1"));
    const auto story = logs.of("r1");
    REQUIRE(story.size() == 4);
    CHECK(story.back().event == "request_end");
    CHECK(story.back().at - story.front().at == milliseconds{400});
}

TEST_CASE("log story: beliefs shortly before are told", "[explain]")
{
    log_story logs;
    logs.read(
        line(0, 0, "a", "event=store_lost reason=\"no answer in time\"") +
        line(5000, 0, "a", "event=domain_evacuated domain=nyali") +
        line(5100, 0, "a", "event=replica_ended replica=x") +
        line(5100, 0, "a", "event=replica_ended replica=z") +
        line(
            6000,
            0,
            "a",
            "event=attempt_failed request=r1 replica=x "
            "outcome=misdirected") +
        line(7000, 0, "a", "event=config_in_force version=9"));
    logs.read(line(5500, 0, "b", "event=domain_evacuated domain=nyali"));
    CHECK(
        events_of(logs.of("r1")) ==
        std::vector<std::string>{
            "a domain_evacuated", "a replica_ended", "a attempt_failed"});
}

TEST_CASE("log story: each life of an instance has its own clock", "[explain]")
{
    log_story logs;
    logs.read(
        line(100, 500, "a", "event=request_end request=r1 outcome=failed") +
        line(2000, -1900, "a", "event=started") +
        line(2100, -1900, "a", "event=request_end request=r9 outcome=failed"));
    CHECK(logs.of("r1").size() == 1);
    CHECK(events_of(logs.of("r9")).front() == "a started");
}

TEST_CASE("log story: what is no line is counted", "[explain]")
{
    log_story logs;
    logs.read(
        "time=2026-12-04T12:0\nnonsense\n" +
        line(
            1,
            1,
            "a",
            "event=request_refused request=r1 "
            "reason=\"no configuration yet\""));
    CHECK(logs.unreadable() == 2);
    CHECK(
        log_story::verdict(logs.of("r1")) ==
        "refused before it was forwarded: no configuration yet");
    CHECK(logs.of("unknown").empty());
}
