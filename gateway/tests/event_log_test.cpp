#include <peridotward/gateway/event_log.hpp>

#include <catch2/catch.hpp>
#include <unistd.h>

#include <array>
#include <string>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
const manual_clock wall_clock;

struct log_pipe
{
    std::array<int, 2> ends{};

    log_pipe() { REQUIRE(::pipe(ends.data()) == 0); }
    log_pipe(const log_pipe&) = delete;
    log_pipe& operator=(const log_pipe&) = delete;
    ~log_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    [[nodiscard]] std::string read() const
    {
        std::array<char, 65536> buffer{};
        const auto received = ::read(ends[0], buffer.data(), buffer.size());
        return {
            buffer.data(),
            received > 0 ? static_cast<std::size_t>(received) : 0};
    }
};

} // namespace

TEST_CASE("log: one event writes one line with all its fields", "[log]")
{
    log_pipe pipe;
    event_log log{pipe.ends[1], "i-1", wall_clock};
    log.write(
        start,
        event_severity::notable,
        "request_end",
        {{"request", "a b"}, {"took", milliseconds{12}}, {"parts", 10}});
    log.flush();
    CHECK(
        pipe.read() == "time=1970-01-01T01:00:00.000Z t=3600000000 "
                       "instance=i-1 event=request_end "
                       "request=\"a b\" took=12.0ms parts=10\n");
}

TEST_CASE(
    "log: write and flush to a full pipe drop lines and don't block", "[log]")
{
    log_pipe pipe;
    event_log log{pipe.ends[1], "i-1", wall_clock};
    // If the log blocked on the full pipe, the test would never end.
    for (int second = 0; second < 200; ++second) {
        for (int i = 0; i < 300; ++i)
            log.write(
                start + seconds{second},
                event_severity::notable,
                "request_end",
                {{"request", std::string(64, 'x')}});
        log.flush();
    }
    CHECK(log.dropped() > 0);
}

TEST_CASE(
    "log: routine events never use the lines reserved for notable ones",
    "[log]")
{
    log_pipe pipe;
    event_log log{pipe.ends[1], "i-1", wall_clock};
    std::uint32_t routine = 0;
    while (log.accepts_routine(start)) {
        log.write(start, event_severity::routine, "usual", {});
        ++routine;
    }
    CHECK(routine == event_log::lines_per_second - event_log::notable_reserve);
    const auto before = log.dropped();
    for (std::uint32_t i = 0; i < event_log::notable_reserve; ++i)
        log.write(start, event_severity::notable, "failure", {});
    CHECK(log.dropped() == before);
    log.write(start, event_severity::notable, "failure", {});
    CHECK(log.dropped() == before + 1);

    log.write(start + seconds{1}, event_severity::notable, "failure", {});
    log.flush();
    CHECK(pipe.read().find("event=log_left_out lines=2") != std::string::npos);
}
