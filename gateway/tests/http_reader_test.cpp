#include <peridotward/gateway/http_reader.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

read_state read(
    request_message& message,
    std::string input,
    std::size_t header = 1000,
    std::size_t body = 1000)
{
    request_reader reader{message, header, body};
    return reader.consume(input);
}

} // namespace

TEST_CASE(
    "requests: target, field order and duplicate fields are preserved",
    "[http]")
{
    request_message message;
    REQUIRE(
        read(
            message,
            "GET /a/?page=10&sort=new&page=9 HTTP/1.1\r\nHost: a\r\n"
            "X-One: 1\r\nx-two: 2\r\nX-One: 3\r\n\r\n") ==
        read_state::complete);
    CHECK(message.target == "/a/?page=10&sort=new&page=9");
    REQUIRE(message.fields.size() == 4);
    CHECK(message.fields.at(2).name == "x-two");
    CHECK(message.fields.at(3).value == "3");
    CHECK(message.fields.find("X-TWO") == "2");
    CHECK(message.keep_alive);
    CHECK_FALSE(message.has_length);
}

TEST_CASE("requests: a chunked body is reassembled", "[http]")
{
    request_message message;
    CHECK(
        read(
            message,
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") == read_state::complete);
    CHECK(message.body == "abcde");
    CHECK(message.has_length);
}

TEST_CASE("requests: a request split at any byte is complete", "[http]")
{
    const std::string whole =
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody";
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
        request_message message;
        request_reader reader{message, 1000, 1000};
        auto input = whole.substr(0, cut);
        CHECK(reader.consume(input) == read_state::incomplete);
        input += whole.substr(cut);
        CHECK(reader.consume(input) == read_state::complete);
        CHECK(message.body == "body");
    }
}

TEST_CASE("requests: ambiguous framing is invalid", "[http]")
{
    request_message message;
    const std::string start = "POST / HTTP/1.1\r\nHost: a\r\n";
    for (const char* fields :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
          "Transfer-Encoding: gzip\r\n\r\nabc",
          "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
          "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
          "Content-Length: -3\r\n\r\nabc",
          "Content-Length: 3x\r\n\r\nabc",
          "Bad Name: 1\r\n\r\n",
          "Name : 1\r\n\r\n"})
        CHECK(read(message, start + fields) == read_state::invalid);
}

TEST_CASE(
    "requests: a too large header and a too large body give different states",
    "[http]")
{
    request_message message;
    CHECK(
        read(
            message,
            "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n") ==
        read_state::header_too_large);
    CHECK(
        read(message, "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n") ==
        read_state::body_too_large);
}

TEST_CASE("answers: bytes of a second answer stay in the input", "[http]")
{
    response_message answer;
    std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"
                        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    {
        response_reader reader{answer, 100, false};
        CHECK(reader.consume(input) == read_state::complete);
        CHECK(answer.body == "a");
    }
    response_reader reader{answer, 100, false};
    CHECK(reader.consume(input) == read_state::complete);
    CHECK(answer.status == 500);
    CHECK(input.empty());
}

TEST_CASE(
    "answers: one without length is complete at the end of the connection",
    "[http]")
{
    response_message answer;
    response_reader reader{answer, 100, false};
    std::string input = "HTTP/1.1 200 OK\r\n\r\nabc";
    CHECK(reader.consume(input) == read_state::incomplete);
    CHECK(reader.consume_end() == read_state::complete);
    CHECK(answer.body == "abc");
    CHECK_FALSE(answer.keep_alive);
}

TEST_CASE("answers: a truncated answer is invalid", "[http]")
{
    response_message answer;
    for (std::string input :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
          "HTTP/1.1 20",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab"}) {
        response_reader reader{answer, 100, false};
        CHECK(reader.consume(input) == read_state::incomplete);
        CHECK(reader.consume_end() == read_state::invalid);
    }
}
