#include <peridotward/core/admission/send_queue.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

send_urgency urgency(std::int32_t priority, int full_value_ms)
{
    return {priority, start + milliseconds{full_value_ms}};
}

} // namespace

TEST_CASE(
    "send queue: requests are popped by priority, then by deadline",
    "[admission]")
{
    send_queue<std::string> queue;
    CHECK_FALSE(queue.push("portal", urgency(2, 40), 2, start));
    CHECK_FALSE(queue.push("clearance", urgency(1, 90), 2, start));
    CHECK_FALSE(queue.push("clearance sooner", urgency(1, 80), 2, start));
    CHECK(queue.pop(start) == "clearance sooner");
    CHECK(queue.pop(start) == "clearance");
    CHECK(queue.pop(start) == "portal");
    CHECK_FALSE(queue.pop(start));
}

TEST_CASE(
    "send queue: requests still in time are popped before late ones",
    "[admission]")
{
    send_queue<std::string> queue;
    CHECK_FALSE(queue.push("late", urgency(1, 10), 2, start));
    CHECK_FALSE(queue.push("in time", urgency(2, 50), 2, start));
    CHECK(queue.pop(start + milliseconds{20}) == "in time");
    CHECK(queue.pop(start + milliseconds{20}) == "late");
}

TEST_CASE(
    "send queue: a full queue drops the least urgent request", "[admission]")
{
    send_queue<std::string> queue;
    const auto capacity = send_queue<std::string>::waiting_per_connection;
    for (std::size_t i = 0; i < capacity; ++i)
        CHECK_FALSE(queue.push("portal", urgency(2, 100), 1, start));
    CHECK(
        queue.push("last portal", urgency(2, 200), 1, start) == "last portal");
    CHECK(queue.push("clearance", urgency(1, 100), 1, start) == "portal");
    CHECK(queue.size() == capacity);
    CHECK(queue.pop(start) == "clearance");
}

TEST_CASE("send queue: extracted requests are no longer queued", "[admission]")
{
    send_queue<std::string> queue;
    CHECK_FALSE(queue.push("a", urgency(1, 50), 1, start));
    CHECK_FALSE(queue.push("b", urgency(1, 60), 1, start));
    const auto is_a = [](const std::string& queued) { return queued == "a"; };
    CHECK(queue.extract_if(is_a) == "a");
    CHECK_FALSE(queue.extract_if(is_a));
    CHECK(queue.pop(start) == "b");
}
