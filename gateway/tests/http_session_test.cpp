#include <peridotward/gateway/http_session.hpp>

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
