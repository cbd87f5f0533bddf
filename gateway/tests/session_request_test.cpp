#include <peridotward/gateway/session_request.hpp>
#include <peridotward/gateway/socket.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <array>
#include <string>
#include <vector>

using namespace peridotward;

namespace {

/// More bytes than a socket takes.
constexpr std::size_t large_size = 8U << 20U;

/// Answers `/large` at once and keeps other requests open.
class keeping_handler final : public http_handler
{
public:
    void on_request(http_session& session) override
    {
        if (session.request().target == "/large")
            session.respond(200, "text/plain", std::string(large_size, 'a'));
        else {
            kept.emplace_back(session);
            ++open;
        }
    }
    void on_caller_disconnect(http_session&) override { --open; }
    [[nodiscard]] caller_limits limits() const override { return {}; }

    std::vector<session_request> kept;
    int open = 0; ///< Requests without an answer or a notice of their end.
};

struct pipelining_caller
{
    pipelining_caller()
    {
        std::array<int, 2> ends{};
        REQUIRE(
            ::socketpair(
                AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        caller = unique_socket{ends[0]};
        session = new http_session{
            loop, {unique_socket{ends[1]}, "127.0.0.1"}, handler};
        session->start();
    }

    void send(const std::string& target)
    {
        const auto request = "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
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

    /// \returns What has arrived.
    std::string read()
    {
        std::string text;
        std::array<char, 65536> buffer;
        while (true) {
            const auto received =
                ::recv(caller.descriptor(), buffer.data(), buffer.size(), 0);
            if (received <= 0)
                return text;
            text.append(buffer.data(), static_cast<std::size_t>(received));
        }
    }

    manual_clock clock;
    reactor loop{clock};
    keeping_handler handler;
    unique_socket caller;
    boost::intrusive_ptr<http_session> session;
};

} // namespace

// Guards against work that answers a request of a caller that has left: its
// session is another caller's by then, who gets a foreign answer.
TEST_CASE(
    "session: a caller that leaves during an answer has no open request left",
    "[session]")
{
    for (const bool stalls : {false, true}) {
        pipelining_caller tested;
        tested.send("/large");
        tested.send("/kept");
        if (stalls) {
            tested.clock.advance(http_session::write_timeout + seconds{1});
            tested.loop.refresh();
            tested.session->check(tested.loop.now());
        }
        else
            tested.caller.close();
        tested.run();
        CHECK(tested.handler.open == 0);
        for (const auto& request : tested.handler.kept)
            CHECK_FALSE(request);
    }
}

TEST_CASE(
    "session: each way in which a connection ends tells the handler",
    "[session]")
{
    pipelining_caller leaving;
    leaving.send("/kept");
    CHECK(leaving.handler.open == 1);
    CHECK(leaving.handler.kept.front());
    leaving.caller.close();
    leaving.run();
    CHECK(leaving.handler.open == 0);
    CHECK_FALSE(leaving.handler.kept.front());
}

// Guards against a late answer that goes to the next request of the connection.
TEST_CASE("session: an answered request is not open any more", "[session]")
{
    pipelining_caller tested;
    tested.send("/first");
    const auto first = tested.handler.kept.front();
    REQUIRE(first);
    first->respond(200, "text/plain", "first");
    CHECK_FALSE(first);
    tested.send("/second");
    REQUIRE(tested.handler.kept.size() == 2);
    CHECK_FALSE(first);
    CHECK(tested.handler.kept.back());
}

// Guards against callers that send requests without end and take no answer,
// which are kept in memory.
TEST_CASE(
    "session: the next request is read when the answer was taken", "[session]")
{
    pipelining_caller tested;
    tested.send("/large");
    tested.send("/kept");
    CHECK(tested.handler.kept.empty());
    for (std::size_t size = 0; size < large_size;) {
        const auto text = tested.read();
        REQUIRE_FALSE(text.empty());
        size += text.size();
        tested.run();
    }
    tested.run();
    REQUIRE(tested.handler.kept.size() == 1);
    tested.handler.kept.front()->respond(200, "text/plain", "kept");
    CHECK(tested.read().ends_with("kept"));
}
