#include "system_fixture.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;
using peridotward::testing::system_fixture;
namespace net = boost::asio;

namespace {

struct malformed_call
{
    const char* method;
    const char* path;
    std::string body;
    int status;
    const char* kind;
};

std::string reported_kind(const client_response& answer)
{
    const auto body = json::parse(answer.body, nullptr, false);
    return body.is_object() && body.contains("error")
               ? body.at("error").at("kind").get<std::string>()
               : std::string{};
}

/// Polls `done` up to 500 times at intervals of 10 ms.
/// \returns Whether `done` returned true.
template<class Condition>
bool poll_until(Condition done)
{
    for (int i = 0; i < 500; ++i) {
        if (done())
            return true;
        std::this_thread::sleep_for(milliseconds{10});
    }
    return false;
}

} // namespace

TEST_CASE(
    "a malformed request gets its status and error kind and reaches no "
    "upstream",
    "[malformed_requests]")
{
    const std::string nested = std::string(3000, '[') + std::string(3000, ']');
    const malformed_call calls[] = {
        {"POST", "/v1/search/all", "{\"criteria\":", 400, "bad_request"},
        {"POST", "/v1/search/all", "[]", 400, "bad_request"},
        {"POST", "/v1/search/all", nested, 400, "bad_request"},
        {"POST", "/v1/search/all", R"({"criteria":[]})", 400, "bad_request"},
        {"POST",
         "/v1/search/all",
         R"({"criteria":{},"criteria":{}})",
         400,
         "bad_request"},
        {"POST",
         "/v1/search/all",
         R"({"minimum_coverage":2})",
         400,
         "bad_request"},
        {"POST",
         "/v1/search/all",
         R"({"request_id":"a b"})",
         400,
         "bad_request"},
        {"POST",
         "/v1/search/all",
         R"({"deadline_ms":0})",
         400,
         "deadline_invalid"},
        {"POST",
         "/v1/search/all",
         R"({"deadline_ms":-1})",
         400,
         "deadline_invalid"},
        {"POST",
         "/v1/search/all",
         R"({"deadline_ms":1e30})",
         400,
         "deadline_invalid"},
        {"POST",
         "/v1/search/all",
         R"({"deadline_ms":86400000})",
         400,
         "deadline_invalid"},
        {"POST", "/v1/search/none", "{}", 404, "unknown_search"},
        {"POST", "/v1/nothing", "{}", 404, "unknown_path"},
        {"GET", "/v1/records/none/1", "", 404, "unknown_service"},
        {"POST", "/v1/records/billing", R"({"entry":1})", 400, "bad_request"},
    };
    system_fixture fixture;
    const auto before = fixture.sum_counter("requests");
    for (const auto& call : calls) {
        const auto answer = fixture.call(call.method, call.path, call.body);
        CAPTURE(call.path, call.body.substr(0, 60), answer.body);
        CHECK(answer.outcome == transport_outcome::answered);
        CHECK(answer.status == call.status);
        CHECK(reported_kind(answer) == call.kind);
    }
    const auto large = fixture.call(
        "POST", "/v1/search/all", "\"" + std::string(9000, 'x') + "\"");
    CHECK(large.status == 413);
    CHECK(fixture.sum_counter("requests") == before);
    CHECK(fixture.search(fixture.subject(3)).status == 200);
}

TEST_CASE(
    "an entry sent four times with one request id runs at most once",
    "[doubled_id]")
{
    system_fixture fixture;
    const auto id = std::to_string(fixture.wall_ms()) + "-77";
    const json body{{"request_id", id}, {"entry", {{"amount", 1}}}};
    std::vector<client_response> answers;
    for (int i = 0; i < 4; ++i)
        answers.push_back(
            fixture.call("POST", "/v1/records/billing", body.dump()));
    const auto services = fixture.ledger().at("services");
    CAPTURE(answers[0].body, answers[1].body);
    CHECK(services.at("billing").at("doubled_runs") == 0);
    CHECK(services.at("billing").at("entries") <= 1);
}

TEST_CASE(
    "an entry that ran is not reported as not run after a connection fault",
    "[broken_entry]")
{
    system_fixture fixture;
    const auto fault = GENERATE(as<std::string>{}, "reset", "half_close");
    fixture.change_upstreams("billing", {{fault, true}});
    const auto id = std::to_string(fixture.wall_ms()) + "-78";
    const json body{{"request_id", id}, {"entry", {{"amount", 1}}}};
    const auto answer =
        fixture.call("POST", "/v1/records/billing", body.dump());
    CAPTURE(answer.body);
    const auto runs = fixture.ledger().at("services").at("billing");
    const auto refused = json::parse(answer.body).at("error");
    CHECK(runs.at("doubled_runs") == 0);
    CHECK((runs.at("entries") == 0 || refused.at("not_run") == false));
}

TEST_CASE(
    "closing the connection of a caller cancels its requests at the upstreams",
    "[caller_gone]")
{
    system_fixture fixture;
    const auto cancelled_before = fixture.sum_counter("cancelled");
    fixture.change_upstreams("*", {{"service_ms", 3000}});
    {
        net::io_context context;
        net::ip::tcp::socket socket{context};
        socket.connect(
            {net::ip::make_address(fixture.callers().host),
             fixture.callers().port});
        const std::string body =
            R"({"criteria":{"subject":"none"},"deadline_ms":9000})";
        const auto request = "POST /v1/search/all HTTP/1.1\r\nHost: a\r\n"
                             "Connection: keep-alive\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
        net::write(socket, net::buffer(request));
        REQUIRE(
            poll_until([&] { return fixture.sum_counter("in_flight") >= 2; }));
    }
    CHECK(poll_until([&] { return fixture.sum_counter("in_flight") == 0; }));
    CHECK(fixture.sum_counter("cancelled") >= cancelled_before + 2);
}
