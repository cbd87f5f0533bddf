#include "recording_owner.hpp"

#include <peridotward/gateway/http_session.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace peridotward;

namespace {

constexpr std::uint16_t replica_port = 18742;

/// A replica that gives every request the same answer, and the pool of an
/// instance in front of it.
class answering_replica final : public http_handler
{
public:
    answering_replica()
    {
        names.leaving = "X-Leaving";
        names.not_run = "X-Not-Run";
        names.rate_limit = "X-Limit";
        REQUIRE(listener_.open({"127.0.0.1", replica_port}));
        publish("r", 1);
    }

    void publish(std::string id, std::uint64_t start_id)
    {
        upstream_record record;
        record.id = std::move(id);
        record.service = "s";
        record.address = {"127.0.0.1", replica_port};
        record.start_id = start_id;
        catalog.publish(std::move(record), clock.now());
    }

    /// Handles events until all sent requests are answered.
    void run()
    {
        for (int round = 0; round < 20; ++round) {
            loop.defer([] {}); // With a deferred action the loop doesn't wait.
            loop.run_once();
        }
    }

    manual_clock clock;
    reactor loop{clock};
    upstream_catalog catalog;
    header_names names;
    upstream_pool pool{loop, catalog, names};
    /// Status line and fields of all answers.
    std::string answer_head;
    std::size_t requests = 0;

private:
    void on_request(http_session& session) override
    {
        ++requests;
        session.respond(answer_head, "");
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

    http_listener listener_{loop, *this};
};

replica_availability availability_of_first(const answering_replica& replica)
{
    return replica.catalog.availability(replica.catalog.at(0));
}

} // namespace

TEST_CASE(
    "pool: an upstream that says it is leaving gets no further request",
    "[notice]")
{
    answering_replica replica;
    std::vector<replica_number> reported;
    replica.pool.on_leaving = [&](auto number) { reported.push_back(number); };
    replica.answer_head = "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\n";
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    // Two connections, and more requests that wait for one.
    for (std::uint32_t i = 0; i < 6; ++i)
        REQUIRE(owner->send(replica.pool, i, 2, seconds{1}));
    replica.run();
    CHECK(availability_of_first(replica) == replica_availability::excluded);
    CHECK(reported == std::vector<replica_number>{0});
    CHECK(replica.requests <= 2);
    CHECK(owner->ended.size() == 6);
    CHECK(
        static_cast<std::size_t>(std::count(
            owner->ended.begin(),
            owner->ended.end(),
            forward_outcome::unsent)) == 6 - replica.requests);
}

TEST_CASE(
    "pool: a request for which a connection is made is not sent to an upstream "
    "that became leaving meanwhile",
    "[notice]")
{
    answering_replica replica;
    replica.answer_head = "HTTP/1.1 200 OK\r\n";
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    REQUIRE(owner->send(replica.pool, 0, 2, seconds{1}));
    CHECK(replica.catalog.mark_leaving(0));
    replica.run();
    CHECK(replica.requests == 0);
    CHECK(
        owner->ended == std::vector<forward_outcome>{forward_outcome::unsent});
}

TEST_CASE(
    "pool: only the stated value, from the upstream itself, means leaving",
    "[notice]")
{
    for (const char* head :
         {"HTTP/1.1 200 OK\r\nX-Leaving: 0\r\n",
          "HTTP/1.1 200 OK\r\nX-Leaving: \r\n",
          "HTTP/1.1 421 Misdirected\r\nX-Leaving: 1\r\n",
          "HTTP/1.1 200 OK\r\n"}) {
        answering_replica replica;
        replica.answer_head = head;
        const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
        REQUIRE(owner->send(replica.pool, 0, 2, seconds{1}));
        replica.run();
        INFO(head);
        CHECK(replica.requests == 1);
        CHECK(availability_of_first(replica) == replica_availability::serving);
    }
}

TEST_CASE(
    "pool: an upstream that answers 503 with Retry-After gets no request until "
    "then",
    "[notice]")
{
    answering_replica replica;
    std::vector<milliseconds> pauses;
    replica.pool.on_pause = [&](auto, auto pause) { pauses.push_back(pause); };
    replica.answer_head =
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 2.5\r\n";
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    for (std::uint32_t i = 0; i < 6; ++i)
        REQUIRE(owner->send(replica.pool, i, 2, seconds{1}));
    replica.run();
    CHECK(replica.requests <= 2);
    CHECK(owner->ended.size() == 6);
    CHECK(pauses == std::vector<milliseconds>{milliseconds{2500}});
    CHECK_FALSE(replica.pool.wants_requests(0));
    replica.clock.advance(milliseconds{2500});
    replica.loop.refresh();
    CHECK(replica.pool.wants_requests(0));
}

TEST_CASE("pool: only 503 with a valid Retry-After is a pause", "[notice]")
{
    for (const char* head :
         {"HTTP/1.1 503 Busy\r\n",
          "HTTP/1.1 503 Busy\r\nRetry-After: soon\r\n",
          "HTTP/1.1 503 Busy\r\nRetry-After: 0\r\n",
          "HTTP/1.1 200 OK\r\nRetry-After: 9\r\n"}) {
        answering_replica replica;
        replica.answer_head = head;
        const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
        REQUIRE(owner->send(replica.pool, 0, 2, seconds{1}));
        replica.run();
        INFO(head);
        CHECK(replica.requests == 1);
        CHECK(replica.pool.wants_requests(0));
    }
}

TEST_CASE("pool: a rate limit holds while the upstream names it", "[notice]")
{
    answering_replica replica;
    std::vector<std::optional<double>> reported;
    replica.pool.on_rate_limit = [&](auto number) {
        reported.push_back(replica.catalog.at(number).rate_limit);
    };
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    const auto limit_after = [&](std::string head) {
        replica.answer_head = std::move(head);
        REQUIRE(owner->send(replica.pool, 0, 2, seconds{1}));
        replica.run();
        return replica.catalog.at(0).rate_limit;
    };
    CHECK(limit_after("HTTP/1.1 200 OK\r\nX-Limit: 30.5\r\n") == 30.5);
    CHECK(limit_after("HTTP/1.1 200 OK\r\nX-Limit: 2\r\n") == 2.0);
    for (const char* head :
         {"HTTP/1.1 200 OK\r\nX-Limit: many\r\n",
          "HTTP/1.1 200 OK\r\nX-Limit: -1\r\n",
          "HTTP/1.1 200 OK\r\nX-Limit: inf\r\n",
          "HTTP/1.1 200 OK\r\nX-Limit: \r\n",
          "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n",
          "HTTP/1.1 421 Misdirected\r\n"}) {
        INFO(head);
        CHECK(limit_after(head) == 2.0);
    }
    CHECK(limit_after("HTTP/1.1 200 OK\r\nX-Limit: 0\r\n") == 0.0);
    CHECK(limit_after("HTTP/1.1 200 OK\r\n") == std::nullopt);
    CHECK(reported == std::vector<std::optional<double>>{30.5, std::nullopt});
}
