#include <peridotward/gateway/http_session.hpp>
#include <peridotward/gateway/socket.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <array>
#include <string>

using namespace peridotward;

namespace {

/// Answers each request with more bytes than a socket takes.
class large_answer final : public http_handler
{
public:
    void on_request(http_session& session) override
    {
        session.respond(200, "text/plain", std::string(8U << 20U, 'a'));
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }
};

/// A session, and the caller's end of its connection.
struct connected_caller
{
    connected_caller()
    {
        std::array<int, 2> ends{};
        REQUIRE(
            ::socketpair(
                AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        caller = unique_socket{ends[0]};
        session = new http_session{
            loop, {unique_socket{ends[1]}, "127.0.0.1"}, handler};
        session->start();
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(
            ::send(caller.descriptor(), request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
        run();
    }

    void run()
    {
        for (int round = 0; round < 4; ++round) {
            loop.defer([] {}); // With a deferred action the loop doesn't wait.
            loop.run_once();
        }
    }

    void pass(milliseconds time)
    {
        clock.advance(time);
        loop.refresh();
        session->check(loop.now());
    }

    /// \returns Whether the other side has ended the connection; reads all that
    /// has arrived.
    bool read_to_end()
    {
        std::array<char, 65536> buffer;
        while (true) {
            const auto received =
                ::recv(caller.descriptor(), buffer.data(), buffer.size(), 0);
            if (received <= 0)
                return received == 0;
        }
    }

    manual_clock clock;
    reactor loop{clock};
    large_answer handler;
    unique_socket caller;
    boost::intrusive_ptr<http_session> session;
};

} // namespace

// Guards against connections to callers that are gone, and the memory of their
// answers, which are kept until the system gives the connection up.
TEST_CASE("session: an answer that its caller doesn't take ends", "[session]")
{
    connected_caller tested;
    tested.pass(http_session::write_timeout);
    CHECK(tested.session->busy());
    tested.pass(milliseconds{1});
    CHECK_FALSE(tested.session->busy());
    CHECK(tested.read_to_end());
}

TEST_CASE("session: an answer that is taken slowly goes on", "[session]")
{
    connected_caller tested;
    for (int i = 0; i < 5; ++i) {
        tested.pass(http_session::write_timeout);
        REQUIRE(tested.session->busy());
        CHECK_FALSE(tested.read_to_end());
        tested.run();
    }
}

namespace {

constexpr std::uint16_t listener_port = 18743;

/// Counts requests, and answers them.
class counting_handler final : public http_handler
{
public:
    void on_request(http_session& session) override
    {
        ++requests;
        session.respond(200, "text/plain", "ok");
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

    int requests = 0;
};

/// A listener, and a caller that has connected to it.
struct stopping_listener
{
    stopping_listener()
    {
        REQUIRE(listener.open({"127.0.0.1", listener_port}));
        auto connecting = connect_tcp(
            {"127.0.0.1", listener_port},
            keep_alive_times{seconds{1}, seconds{1}, 1});
        REQUIRE(connecting);
        caller = std::move(*connecting);
    }

    void run()
    {
        for (int round = 0; round < 4; ++round) {
            loop.defer([] {}); // With a deferred action the loop doesn't wait.
            loop.run_once();
        }
    }

    void send_request()
    {
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        REQUIRE(
            ::send(caller.descriptor(), request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
    }

    manual_clock clock;
    reactor loop{clock};
    counting_handler handler;
    http_listener listener{loop, handler};
    unique_socket caller;
};

} // namespace

TEST_CASE(
    "listener: connections that wait to be accepted are served at a stop",
    "[session]")
{
    stopping_listener tested;
    tested.send_request();
    tested.listener.close();
    tested.run();
    CHECK(tested.handler.requests == 1);
}

TEST_CASE(
    "listener: a request that has arrived is served before its connection is "
    "closed",
    "[session]")
{
    stopping_listener tested;
    tested.run();
    tested.clock.advance(http_session::min_idle_time);
    tested.loop.refresh();

    SECTION("at a stop")
    {
        tested.send_request();
        tested.listener.close_idle();
        CHECK(tested.listener.busy() == 1);
        tested.run();
        CHECK(tested.handler.requests == 1);
    }
    SECTION("at the end of the idle time")
    {
        tested.clock.advance(seconds{60});
        tested.loop.refresh();
        tested.send_request();
        tested.listener.check(tested.loop.now());
        tested.run();
        CHECK(tested.handler.requests == 1);
    }
    SECTION("and without one it is closed")
    {
        tested.listener.close_idle();
        tested.send_request();
        tested.run();
        CHECK(tested.handler.requests == 0);
    }
}

TEST_CASE(
    "listener: a connection that was just made isn't closed as idle",
    "[session]")
{
    stopping_listener tested;
    tested.run();
    tested.listener.close_idle();
    tested.send_request();
    tested.run();
    CHECK(tested.handler.requests == 1);
}
