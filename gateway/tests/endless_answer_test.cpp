#include <peridotward/gateway/http_reader.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace peridotward;

namespace {

constexpr std::size_t piece_bytes = 16384;
constexpr std::size_t max_head_bytes = 8192;
constexpr std::size_t max_body_bytes = 100'000;
/// Bytes that a reader may take before it gives up: the largest head, body and
/// lines of chunks, and one piece.
constexpr std::size_t max_taken_bytes =
    max_head_bytes + 2 * max_body_bytes + piece_bytes;

/// Head of an answer or a request, and what follows it without end.
struct endless_message
{
    std::string begin;
    std::string repeated;
};

/// \returns The bytes that `reader` took before it gave up.
template<class Reader>
std::size_t bytes_taken(Reader& reader, const endless_message& message)
{
    std::string input = message.begin;
    std::size_t taken = input.size();
    while (reader.consume(input) == read_state::incomplete &&
           taken < 100 * max_taken_bytes) {
        const auto before = input.size();
        while (input.size() - before < piece_bytes)
            input += message.repeated;
        taken += input.size() - before;
    }
    return taken;
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against an upstream that sends bytes without end until memory runs
// out.
TEST_CASE("answers: bytes without end are given up", "[http]")
{
    const std::pair<const char*, endless_message> cases[] = {
        {"no answer", {"", "garbage "}},
        {"zeros", {"", std::string(8, '\0')}},
        {"line ends", {"", "\r\n"}},
        {"a status line", {"HTTP/1.1 200 ", "O"}},
        {"a field name", {ok, "X"}},
        {"a field value", {ok + "X: ", "a"}},
        {"a folded field", {ok + "X: a", "\r\n a"}},
        {"fields", {ok, "X: a\r\n"}},
        {"a body until the end", {ok + "\r\n", "abc"}},
        {"a body in chunks", {ok + chunked, "3\r\nabc\r\n"}},
        {"empty lines in chunks", {ok + chunked, "\r\n"}},
        {"a chunk size", {ok + chunked, "0"}},
        {"a chunk extension", {ok + chunked + "3;", "a"}},
        {"chunk extensions", {ok + chunked, "1;a=b\r\nx\r\n"}},
        {"a trailer", {ok + chunked + "0\r\n", "X: a\r\n"}},
        {"a trailer's value", {ok + chunked + "0\r\nX: ", "a"}},
    };
    for (const auto& [name, message] : cases) {
        response_message answer;
        response_reader reader{answer, max_body_bytes, false};
        INFO(name);
        CHECK(bytes_taken(reader, message) <= max_taken_bytes);
        CHECK(answer.body.size() <= max_body_bytes);
    }
}

TEST_CASE("requests: bytes without end are given up", "[http]")
{
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
    const std::pair<const char*, endless_message> cases[] = {
        {"a method", {"", "A"}},
        {"a target", {"GET /", "a"}},
        {"fields", {post, "X: a\r\n"}},
        {"a body in chunks", {post + chunked, "3\r\nabc\r\n"}},
        {"a chunk size", {post + chunked, "0"}},
        {"a chunk extension", {post + chunked + "3;", "a"}},
        {"chunk extensions", {post + chunked, "1;a=b\r\nx\r\n"}},
        {"a trailer", {post + chunked + "0\r\n", "X: a\r\n"}},
        {"a trailer's value", {post + chunked + "0\r\nX: ", "a"}},
    };
    for (const auto& [name, message] : cases) {
        request_message request;
        request_reader reader{request, max_head_bytes, max_body_bytes};
        INFO(name);
        CHECK(bytes_taken(reader, message) <= max_taken_bytes);
        CHECK(request.body.size() <= max_body_bytes);
    }
}
