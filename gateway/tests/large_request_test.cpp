#include <peridotward/gateway/http_session.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <array>
#include <deque>
#include <string>
#include <vector>

using namespace peridotward;

namespace {

constexpr std::size_t body_bytes = 262'144;
constexpr std::size_t capacity = 8U << 20U;

/// Keeps requests open, and limits the memory of large ones.
class limited_handler final : public http_handler
{
public:
    void on_request(http_session& session) override
    {
        open.emplace_back(&session);
    }
    void on_caller_disconnect(http_session&) override { ++left; }
    [[nodiscard]] caller_limits limits() const override { return {}; }
    [[nodiscard]] memory_budget* request_memory() override
    {
        return budget.get();
    }

    boost::intrusive_ptr<memory_budget> budget{new memory_budget{capacity}};
    std::vector<boost::intrusive_ptr<http_session>> open;
    int left = 0;
};

/// Callers that send large requests at the same time.
struct large_requests
{
    void add(std::size_t size)
    {
        std::array<int, 2> ends{};
        REQUIRE(
            ::socketpair(
                AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        callers.push_back(
            {unique_socket{ends[0]},
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(size) + "\r\n\r\n" + std::string(size, 'b')});
        sessions.emplace_back(new http_session{
            loop, {unique_socket{ends[1]}, "127.0.0.1"}, handler});
        sessions.back()->start();
    }

    void run()
    {
        for (int round = 0; round < 500; ++round) {
            for (auto& each : callers) {
                const auto sent = ::send(
                    each.socket.descriptor(),
                    each.output.data(),
                    each.output.size(),
                    MSG_NOSIGNAL);
                if (sent > 0)
                    each.output.erase(0, static_cast<std::size_t>(sent));
            }
            loop.defer([] {}); // With a deferred action the loop doesn't wait.
            loop.run_once();
        }
    }

    /// \returns What the caller has got.
    std::string read(std::size_t caller)
    {
        std::array<char, 4096> buffer;
        const auto received = ::recv(
            callers.at(caller).socket.descriptor(),
            buffer.data(),
            buffer.size(),
            0);
        return {
            buffer.data(),
            received > 0 ? static_cast<std::size_t>(received) : 0};
    }

    struct caller
    {
        unique_socket socket;
        std::string output;
    };

    manual_clock clock;
    reactor loop{clock};
    limited_handler handler;
    std::deque<caller> callers;
    std::vector<boost::intrusive_ptr<http_session>> sessions;
};

} // namespace

// Guards against large requests that together use up the memory.
TEST_CASE(
    "large requests: those beyond the memory are read later",
    "[large_requests]")
{
    large_requests tested;
    constexpr std::size_t count = 40;
    for (std::size_t i = 0; i < count; ++i)
        tested.add(body_bytes);
    std::size_t served = 0;
    while (served < count) {
        tested.run();
        INFO(served << " served");
        REQUIRE_FALSE(tested.handler.open.empty());
        CHECK(tested.handler.budget->used() <= capacity);
        CHECK(
            tested.handler.open.size() * http_session::body_copies *
                body_bytes <=
            capacity);
        for (const auto& each : std::exchange(tested.handler.open, {})) {
            CHECK(each->request().body.size() == body_bytes);
            each->respond(200, "text/plain", "ok");
            ++served;
        }
    }
    CHECK(tested.handler.budget->used() == 0);
}

TEST_CASE(
    "large requests: small ones don't wait for memory", "[large_requests]")
{
    large_requests tested;
    for (int i = 0; i < 40; ++i)
        tested.add(body_bytes);
    tested.run();
    const auto open = tested.handler.open.size();
    tested.add(1000);
    tested.run();
    CHECK(tested.handler.open.size() == open + 1);
}

// Guards against a request that waits for memory without an answer.
TEST_CASE(
    "large requests: one that gets no memory in time is refused",
    "[large_requests]")
{
    large_requests tested;
    for (int i = 0; i < 40; ++i)
        tested.add(body_bytes);
    tested.run();
    const auto open = tested.handler.open.size();
    REQUIRE(tested.handler.budget->waiting_bytes() > 0);
    tested.clock.advance(caller_limits{}.header_timeout + seconds{1});
    tested.loop.refresh();
    for (const auto& each : tested.sessions)
        each->check(tested.loop.now());
    CHECK(tested.handler.budget->waiting_bytes() == 0);
    std::size_t refused = 0;
    for (std::size_t i = 0; i < tested.callers.size(); ++i) {
        const auto answer = tested.read(i);
        if (answer.starts_with("HTTP/1.1 503 ")) {
            CHECK(answer.find("Retry-After: ") != std::string::npos);
            ++refused;
        }
    }
    CHECK(refused == tested.callers.size() - open);
    CHECK(tested.handler.open.size() == open);
}

TEST_CASE(
    "large requests: the end of a connection gives its memory back",
    "[large_requests]")
{
    large_requests tested;
    for (int i = 0; i < 40; ++i)
        tested.add(body_bytes);
    tested.run();
    tested.callers.clear();
    tested.run();
    CHECK(tested.handler.budget->used() == 0);
    CHECK(tested.handler.budget->waiting_bytes() == 0);
}
