#include <peridotward/core/admission/send_queue.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

send_urgency urgent(std::int32_t priority, int worth_ms)
{
    return {priority, start + milliseconds{worth_ms}};
}

} // namespace

TEST_CASE("send queue: the more urgent kind goes first", "[admission]")
{
    send_queue<std::string> queue;
    CHECK_FALSE(queue.push("portal", urgent(2, 40), 2, start));
    CHECK_FALSE(queue.push("clearance", urgent(1, 90), 2, start));
    CHECK_FALSE(queue.push("clearance sooner", urgent(1, 80), 2, start));
    CHECK(queue.pop(start) == "clearance sooner");
    CHECK(queue.pop(start) == "clearance");
    CHECK(queue.pop(start) == "portal");
    CHECK_FALSE(queue.pop(start));
}

TEST_CASE(
    "send queue: who can be in time goes before who cannot", "[admission]")
{
    send_queue<std::string> queue;
    CHECK_FALSE(queue.push("late", urgent(1, 10), 2, start));
    CHECK_FALSE(queue.push("in time", urgent(2, 50), 2, start));
    CHECK(queue.pop(start + milliseconds{20}) == "in time");
    CHECK(queue.pop(start + milliseconds{20}) == "late");
}

TEST_CASE("send queue: a full queue keeps the most urgent", "[admission]")
{
    send_queue<std::string> queue;
    const auto room = send_queue<std::string>::waiting_per_connection;
    for (std::size_t i = 0; i < room; ++i)
        CHECK_FALSE(queue.push("portal", urgent(2, 100), 1, start));
    CHECK(queue.push("last portal", urgent(2, 200), 1, start) == "last portal");
    CHECK(queue.push("clearance", urgent(1, 100), 1, start) == "portal");
    CHECK(queue.size() == room);
    CHECK(queue.pop(start) == "clearance");
}

TEST_CASE("send queue: withdrawn requests leave room", "[admission]")
{
    send_queue<std::string> queue;
    CHECK_FALSE(queue.push("a", urgent(1, 50), 1, start));
    CHECK_FALSE(queue.push("b", urgent(1, 60), 1, start));
    const auto is_a = [](const std::string& one) { return one == "a"; };
    CHECK(queue.extract_if(is_a) == "a");
    CHECK_FALSE(queue.extract_if(is_a));
    CHECK(queue.pop(start) == "b");
}
