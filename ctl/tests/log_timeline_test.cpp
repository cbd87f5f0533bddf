#include "log_timeline.hpp"

#include <peridotward/base/log_text.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::ctl;

namespace {

/// \returns A log line at `ms_after_noon` ms after noon, of a process whose
/// clock showed `clock_at_noon_ms` ms at noon. `wall_clock_error_ms` ms are
/// added to the wall-clock time.
std::string line(
    int ms_after_noon,
    int clock_at_noon_ms,
    const std::string& instance,
    const std::string& event_fields,
    int wall_clock_error_ms = 0)
{
    std::string text = "time=";
    append_log_time(
        text,
        wall_time{std::chrono::sys_days{
            std::chrono::year{2026} / std::chrono::December / 4}} +
            std::chrono::hours{12} +
            milliseconds{ms_after_noon + wall_clock_error_ms});
    text += " t=" + std::to_string((clock_at_noon_ms + ms_after_noon) * 1000);
    return text + " instance=" + instance + " " + event_fields + "\n";
}

std::vector<std::string> events_of(const std::vector<log_line>& timeline)
{
    std::vector<std::string> events;
    for (const auto& entry : timeline)
        events.push_back(entry.instance + " " + entry.event);
    return events;
}

} // namespace

TEST_CASE(
    "log timeline: lines of two instances are returned in time order",
    "[explain]")
{
    log_timeline log;
    log.add_log(
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
    log.add_log(
        line(
            200,
            10,
            "a",
            "event=attempt_failed request=r1 replica=y "
            "outcome=broken") +
        line(210, 10, "a", "event=request_end request=r2 outcome=complete"));
    const auto timeline = log.request_lines("r1");
    CHECK(
        events_of(timeline) ==
        std::vector<std::string>{
            "b attempt_failed", "a attempt_failed", "b request_end"});
    CHECK(
        log_timeline::summarize(timeline) ==
        "not_run, 0 of 10 parts in 5.0ms: 1 attempt broken at y; "
        "1 attempt refused at x");
    CHECK(log.invalid_lines() == 0);
}

TEST_CASE("log timeline: a wall-clock jump does not reorder lines", "[explain]")
{
    log_timeline log;
    log.add_log(
        line(0, 0, "a", "event=started") + line(100, 0, "a", "event=ready") +
        line(
            400, 0, "a", "event=request_end request=r1 outcome=partial", 7000));
    log.add_log(line(300, 50, "b", "event=attempt_failed request=r1"));
    const auto timeline = log.request_lines("r1");
    REQUIRE(timeline.size() == 4);
    CHECK(timeline.back().event == "request_end");
    CHECK(timeline.back().at - timeline.front().at == milliseconds{400});
}

TEST_CASE(
    "log timeline: state changes shortly before a request are included",
    "[explain]")
{
    log_timeline log;
    log.add_log(
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
    log.add_log(line(5500, 0, "b", "event=domain_evacuated domain=nyali"));
    CHECK(
        events_of(log.request_lines("r1")) ==
        std::vector<std::string>{
            "a domain_evacuated", "a replica_ended", "a attempt_failed"});
}

TEST_CASE(
    "log timeline: each process of an instance has its own clock", "[explain]")
{
    log_timeline log;
    log.add_log(
        line(100, 500, "a", "event=request_end request=r1 outcome=failed") +
        line(2000, -1900, "a", "event=started") +
        line(2100, -1900, "a", "event=request_end request=r9 outcome=failed"));
    CHECK(log.request_lines("r1").size() == 1);
    CHECK(events_of(log.request_lines("r9")).front() == "a started");
}

TEST_CASE("log timeline: invalid lines are counted and skipped", "[explain]")
{
    log_timeline log;
    log.add_log(
        "time=2026-12-04T12:0\nnonsense\n" +
        line(
            1,
            1,
            "a",
            "event=request_refused request=r1 "
            "reason=\"no configuration yet\""));
    CHECK(log.invalid_lines() == 2);
    CHECK(
        log_timeline::summarize(log.request_lines("r1")) ==
        "refused before it was forwarded: no configuration yet");
    CHECK(log.request_lines("unknown").empty());
}

TEST_CASE(
    "log timeline: a refusal names the replicas that could not be used",
    "[explain]")
{
    log_timeline log;
    log.add_log(
        line(
            100,
            0,
            "a",
            "event=replicas_unusable request=r1 excluded=1 paused=2 "
            "unreachable=0") +
        line(
            100,
            0,
            "a",
            "event=request_end request=r1 outcome=not_run took=0.1ms parts=10 "
            "in=0"));
    CHECK(
        log_timeline::summarize(log.request_lines("r1")) ==
        "not_run, 0 of 10 parts in 0.1ms: no attempt failed; replicas "
        "draining, "
        "leaving or in a domain that is out: 1; replicas that had asked for a "
        "pause by Retry-After: 2");
}
