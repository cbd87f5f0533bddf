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

// Guards against a status outside the protocol that is passed on as an answer.
TEST_CASE("answers: a status has to end an exchange", "[http]")
{
    const auto head = [](int status) {
        auto digits = std::to_string(status);
        digits.insert(0, 3 - digits.size(), '0');
        return "HTTP/1.1 " + digits + " Any\r\nX-Id: a\r\n";
    };
    for (int status = 0; status < 1000; ++status) {
        const bool interim = status >= 100 && status < 200 && status != 101;
        const bool final = status >= 200 && status < 600;
        for (const bool bodiless : {false, true}) {
            response_message answer;
            response_reader reader{answer, 100, bodiless};
            auto input = head(status) + "Content-Length: 0\r\n\r\n";
            const auto state = reader.consume(input);
            INFO(status);
            CHECK(
                state == (final     ? read_state::complete
                          : interim ? read_state::incomplete
                                    : read_state::invalid));
            if (interim)
                CHECK(reader.consume_end() == read_state::invalid);
        }
        // The end of the connection would end it.
        response_message answer;
        response_reader reader{answer, 100, false};
        auto input = head(status) + "\r\n";
        if (!interim && !final)
            CHECK(reader.consume(input) == read_state::invalid);
    }
}

// Guards against a sound answer that is lost since an interim one comes first.
TEST_CASE("answers: interim answers before the final one are skipped", "[http]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\nX-Id: x\r\n\r\n"
                                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"
                                "Connection: close\r\n\r\n";
    const std::string final = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
                              "Content-Length: 3\r\n\r\nabc";
    const auto text = interim + final + "rest";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        response_message answer;
        response_reader reader{answer, 100, false};
        std::string input;
        auto state = read_state::incomplete;
        for (std::size_t at = 0;
             at < text.size() && state == read_state::incomplete;
             at += piece) {
            input += text.substr(at, piece);
            state = reader.consume(input);
        }
        REQUIRE(state == read_state::complete);
        CHECK(answer.status == 200);
        CHECK(answer.body == "abc");
        CHECK(answer.keep_alive);
        CHECK(answer.fields.size() == 2);
        CHECK(answer.fields.find("X-Id") == "a");
    }
}

// Guards against interim answers without end that keep a connection busy.
TEST_CASE("answers: interim answers are limited like a head", "[http]")
{
    response_message answer;
    response_reader reader{answer, 100, false};
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::size_t sent = 0;
    auto state = read_state::incomplete;
    while (state == read_state::incomplete && sent < (1U << 20U)) {
        auto input = interim;
        sent += input.size();
        state = reader.consume(input);
    }
    CHECK(state == read_state::header_too_large);
    CHECK(sent <= response_reader::max_header_bytes + interim.size());
}
