// Which fields of a caller's request upstreams see.

#include "forwarded_fields.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

header_names test_names()
{
    header_names names;
    names.request_id = "X-Id";
    names.time_left = "X-Time-Left";
    names.expected_id = "X-Expected";
    names.account = "X-Account";
    names.credentials = "Authorization";
    names.key_scheme = "Token";
    return names;
}

/// A request whose caller sends a key and the name of another account.
request_message request_with_key()
{
    request_message request;
    request_reader reader{request, 1000, 1000};
    std::string input = "GET /x/1 HTTP/1.1\r\n"
                        "Host: a.example\r\n"
                        "X-Id: r1\r\n"
                        "aUTHORIZATION: Token key-1\r\n"
                        "x-account: other\r\n"
                        "X-Account: another\r\n"
                        "Authorization: Token key-2\r\n"
                        "\r\n";
    REQUIRE(reader.consume(input) == read_state::complete);
    return request;
}

} // namespace

TEST_CASE(
    "forwarded fields: upstreams see the account, not the key",
    "[forwarded fields]")
{
    const auto head = forwarded_request_head(
        request_with_key(), test_names(), {true, "desk"});
    CHECK(head.find("key-") == head.npos);
    CHECK(head.find("other") == head.npos);
    CHECK(head.find("X-Account: desk\r\n") != head.npos);
    CHECK(head.find("X-Id: r1\r\n") != head.npos);
}

TEST_CASE(
    "forwarded fields: a caller can't name an account on an open route",
    "[forwarded fields]")
{
    const auto head =
        forwarded_request_head(request_with_key(), test_names(), {true, ""});
    CHECK(head.find("key-") == head.npos);
    CHECK(head.find("ccount:") == head.npos);
}

TEST_CASE(
    "forwarded fields: without accounts all fields are forwarded",
    "[forwarded fields]")
{
    const auto head =
        forwarded_request_head(request_with_key(), test_names(), {});
    CHECK(head.find("Authorization: Token key-2\r\n") != head.npos);
    CHECK(head.find("x-account: other\r\n") != head.npos);
}
