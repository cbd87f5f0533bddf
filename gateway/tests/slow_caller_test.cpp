// Callers that read late, and send the next request before they have read the
// answer.

#include <peridotward/gateway/http_session.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string>

using namespace peridotward;

namespace {

constexpr std::size_t large_size = 8U << 20U; ///< More than a socket takes.

/// Answers with a body whose size is in the target, when `answer` is called.
class sized_handler final : public http_handler
{
public:
    void on_request(http_session& session) override
    {
        open = &session;
        if (at_once)
            answer();
    }
    void answer()
    {
        const auto session = std::exchange(open, nullptr);
        session->respond(
            200,
            "text/plain",
            std::string(std::stoul(session->request().target.substr(1)), 'z'));
    }
    [[nodiscard]] caller_limits limits() const override
    {
        caller_limits limits;
        limits.max_body_bytes = 1U << 20U;
        return limits;
    }

    boost::intrusive_ptr<http_session> open;
    bool at_once = true;
};

class slow_caller
{
public:
    slow_caller()
    {
        std::array<int, 2> ends{};
        REQUIRE(
            ::socketpair(
                AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
        socket_ = unique_socket{ends[0]};
        session = new http_session{
            loop, {unique_socket{ends[1]}, "127.0.0.1"}, handler};
        session->start();
    }

    /// Sends what the connection takes of the rest of `output`.
    void run()
    {
        const auto sent = ::send(
            socket_.descriptor(), output.data(), output.size(), MSG_NOSIGNAL);
        if (sent > 0)
            output.erase(0, static_cast<std::size_t>(sent));
        loop.defer([] {}); // With a deferred action the loop doesn't wait.
        loop.run_once();
    }

    /// \returns The number of bytes that could be read.
    std::size_t read()
    {
        std::array<char, 65536> buffer;
        const auto received =
            ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
        if (received <= 0)
            return 0;
        input.append(buffer.data(), static_cast<std::size_t>(received));
        return static_cast<std::size_t>(received);
    }

    /// Runs and reads until nothing more comes.
    void read_all()
    {
        for (int idle_rounds = 0; idle_rounds < 50;) {
            run();
            idle_rounds = read() > 0 ? 0 : idle_rounds + 1;
        }
    }

    std::string output;
    std::string input;
    manual_clock clock;
    reactor loop{clock};
    sized_handler handler;
    boost::intrusive_ptr<http_session> session;

    void leave() { ::shutdown(socket_.descriptor(), SHUT_WR); }

private:
    unique_socket socket_;
};

std::string post(std::size_t answer_size, std::size_t body_size)
{
    return "POST /" + std::to_string(answer_size) +
           " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(body_size) + "\r\n\r\n" + std::string(body_size, 'b');
}

} // namespace

// Guards against a connection that stops waiting for room to write when the
// next request arrives, or for bytes to read when it has written.
TEST_CASE(
    "slow caller: each answer is whole whenever the next request comes",
    "[slow_caller]")
{
    enum class phase
    {
        before_answer,
        during_answer,
        after_answer,
    };
    for (const std::size_t answer_size : {std::size_t{100}, large_size}) {
        for (const std::size_t next_body :
             {std::size_t{0},
              std::size_t{1000},
              http_session::read_bytes,
              3 * http_session::read_bytes,
              std::size_t{1} << 19U}) {
            for (const auto when :
                 {phase::before_answer,
                  phase::during_answer,
                  phase::after_answer}) {
                INFO(
                    "answer of " << answer_size << ", next body of "
                                 << next_body << ", phase "
                                 << static_cast<int>(when));
                slow_caller caller;
                caller.handler.at_once = false;
                caller.output = post(answer_size, 0);
                for (int i = 0; i < 10; ++i)
                    caller.run();
                REQUIRE(caller.handler.open);
                if (when == phase::before_answer)
                    caller.output += post(10, next_body);
                for (int i = 0; i < 20; ++i)
                    caller.run();
                caller.handler.at_once = true;
                caller.handler.answer();
                if (when == phase::during_answer)
                    caller.output += post(10, next_body);
                for (int i = 0; i < 20; ++i)
                    caller.run();
                caller.read_all();
                if (when == phase::after_answer) {
                    caller.output += post(10, next_body);
                    caller.read_all();
                }
                CHECK(caller.output.empty());
                CHECK(
                    std::count(caller.input.begin(), caller.input.end(), 'z') ==
                    static_cast<std::ptrdiff_t>(answer_size + 10));
                CHECK(caller.input.ends_with("zzzzzzzzzz"));
            }
        }
    }
}

// Guards against callers whose early requests take up memory while they don't
// read the answer.
TEST_CASE("slow caller: early requests wait in the socket", "[slow_caller]")
{
    slow_caller caller;
    caller.output = post(large_size, 0);
    for (int i = 0; i < 10; ++i)
        caller.run();
    const std::size_t early = 64U << 20U;
    caller.output.assign(early, 'x');
    for (int i = 0; i < 5000; ++i)
        caller.run();
    // The socket pair holds less than 1 MB.
    CHECK(caller.output.size() > early - (1U << 20U));
}

TEST_CASE(
    "slow caller: one that leaves is noticed while its requests wait",
    "[slow_caller]")
{
    slow_caller caller;
    caller.output = post(large_size, 0);
    for (int i = 0; i < 10; ++i)
        caller.run();
    caller.output.assign(1U << 20U, 'x');
    for (int i = 0; i < 100; ++i)
        caller.run();
    REQUIRE(caller.session->busy());
    caller.leave();
    caller.run();
    CHECK_FALSE(caller.session->busy());
}
