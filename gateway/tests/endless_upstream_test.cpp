#include "recording_owner.hpp"

#include <peridotward/gateway/socket.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace peridotward;

namespace {

constexpr std::uint16_t replica_port = 18743;

/// A replica that answers each request with bytes without end, and the pool of
/// an instance in front of it.
class endless_replica
{
public:
    /// \param limit Bytes that are sent on each connection.
    endless_replica(
        std::string begin,
        std::string repeated,
        std::size_t limit = std::numeric_limits<std::size_t>::max())
        : begin_{std::move(begin)}, limit_{limit}
    {
        while (repeated_.size() < 65536)
            repeated_ += repeated;
        auto listening = listen_tcp({"127.0.0.1", replica_port});
        REQUIRE(listening);
        listener_ = std::move(*listening);
        upstream_record record;
        record.id = "r";
        record.service = "s";
        record.address = {"127.0.0.1", replica_port};
        catalog.publish(std::move(record), clock.now());
    }

    /// Handles events and sends what the connections take.
    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            loop.defer([] {}); // With a deferred action the loop doesn't wait.
            loop.run_once();
            if (auto accepted = accept_tcp(listener_.descriptor());
                accepted.socket) {
                connections_.push_back({std::move(accepted.socket), 0});
                write(connections_.back(), begin_);
            }
            for (auto& connection : connections_)
                write(connection, repeated_);
            most_buffered = std::max(most_buffered, pool.buffered_bytes());
        }
    }

    manual_clock clock;
    reactor loop{clock};
    upstream_catalog catalog;
    header_names names;
    upstream_pool pool{loop, catalog, names};
    std::size_t most_buffered = 0;

private:
    struct connection
    {
        unique_socket socket;
        std::size_t sent;
    };

    void write(connection& to, std::string_view bytes) const
    {
        // What the socket doesn't take is dropped: the bytes repeat.
        const auto sent = ::send(
            to.socket.descriptor(),
            bytes.data(),
            std::min(bytes.size(), limit_ - to.sent),
            MSG_NOSIGNAL);
        to.sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    std::string begin_;
    std::size_t limit_;
    std::string repeated_;
    unique_socket listener_;
    std::vector<connection> connections_;
};

/// Sends requests to the replica 0 and keeps the answers, as for callers that
/// read late.
class keeping_owner final : public attempt_owner
{
public:
    void send(upstream_pool& pool, std::uint32_t attempt)
    {
        upstream_request request;
        request.owner = this;
        request.attempt = attempt;
        request.expires_at = pool.loop().now() + seconds{10};
        REQUIRE(pool.send(0, std::move(request), {100}));
    }
    void on_attempt_written(std::uint32_t) override {}
    [[nodiscard]] std::string serialize_attempt(std::uint32_t) const override
    {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    std::vector<response_message> kept;

private:
    void on_attempt_end(
        std::uint32_t, forward_outcome, response_message* answer) override
    {
        REQUIRE(answer != nullptr);
        kept.push_back(std::move(*answer));
    }
};

} // namespace

// Guards against upstreams whose bytes without end use up the memory.
TEST_CASE("pool: endless answers end before their deadline", "[pool]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::pair<std::string, std::string> cases[] = {
        {"", "garbage "},
        {ok, "X: a\r\n"},
        {ok + "\r\n", "abc"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n"},
        {ok + "Transfer-Encoding: chunked\r\n\r\n3;", "a"},
    };
    for (const auto& [begin, repeated] : cases) {
        endless_replica replica{begin, repeated};
        const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
        REQUIRE(owner->send(replica.pool, 0, 100, seconds{10}));
        replica.run(2000);
        INFO(begin << repeated);
        CHECK(
            owner->ended ==
            std::vector<forward_outcome>{forward_outcome::broken});
        CHECK(replica.pool.connection_count() == 0);
        CHECK(replica.pool.buffered_bytes() == 0);
    }
}

TEST_CASE("pool: endless answers together stay within its memory", "[pool]")
{
    endless_replica replica{"HTTP/1.1 200 OK\r\n\r\n", "abc"};
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    constexpr std::uint32_t requests = 40;
    for (std::uint32_t i = 0; i < requests; ++i)
        REQUIRE(owner->send(replica.pool, i, 100, seconds{10}));
    replica.run(4000);
    CHECK(replica.most_buffered <= memory_budget::default_capacity);
    CHECK(
        owner->ended ==
        std::vector<forward_outcome>(requests, forward_outcome::broken));
    CHECK(replica.pool.buffered_bytes() == 0);
}

TEST_CASE("pool: a large answer of stated length is received", "[pool]")
{
    constexpr std::size_t length = 12U << 20U;
    endless_replica replica{
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
            "\r\n\r\n",
        "abc"};
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    REQUIRE(owner->send(replica.pool, 0, 100, seconds{10}));
    replica.run(2000);
    // Without a signature it isn't a success, but whole.
    CHECK(
        owner->ended == std::vector<forward_outcome>{forward_outcome::failed});
}

// Guards against whole large answers that use up the memory while their callers
// read late.
TEST_CASE("pool: large answers wait until others are taken", "[pool]")
{
    constexpr std::size_t length = 2U << 20U;
    constexpr std::uint32_t requests = 40;
    endless_replica replica{
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
            "\r\n\r\n",
        "abc"};
    const boost::intrusive_ptr<keeping_owner> owner{new keeping_owner};
    for (std::uint32_t i = 0; i < requests; ++i)
        owner->send(replica.pool, i);
    auto& memory = replica.pool.memory();
    std::size_t answered = 0;
    while (answered < requests) {
        replica.run(1000);
        INFO(answered << " answered");
        REQUIRE_FALSE(owner->kept.empty());
        CHECK(memory.used() <= memory.capacity());
        CHECK(owner->kept.size() * length <= memory.capacity());
        for (const auto& answer : owner->kept)
            CHECK(answer.body.size() == length);
        answered += owner->kept.size();
        owner->kept.clear();
    }
    CHECK(answered == requests);
    CHECK(memory.used() == 0);
    CHECK(memory.waiting_bytes() == 0);
}

// Guards against a replica whose answers trickle in until their deadline, and
// hold up the small answers of others.
TEST_CASE("pool: answers that wait for memory end by their deadline", "[pool]")
{
    constexpr std::uint32_t requests = 20;
    endless_replica replica{
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(15U << 20U) +
            "\r\n\r\n",
        "abc",
        14U << 20U};
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    for (std::uint32_t i = 0; i < requests; ++i)
        REQUIRE(owner->send(replica.pool, i, 100, seconds{10}));
    replica.run(2000);
    CHECK(replica.most_buffered <= memory_budget::default_capacity);
    CHECK(replica.pool.memory().waiting_bytes() > 0);
    replica.clock.advance(seconds{11});
    replica.loop.refresh();
    replica.pool.check(replica.loop.now());
    CHECK(
        owner->ended ==
        std::vector<forward_outcome>(requests, forward_outcome::broken));
    CHECK(replica.pool.memory().used() == 0);
    CHECK(replica.pool.memory().waiting_bytes() == 0);
}
