#include "recording_owner.hpp"

#include <peridotward/gateway/socket.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <string>
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
    endless_replica(std::string begin, std::string repeated)
        : begin_{std::move(begin)}
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
                write(accepted.socket, begin_);
                connections_.push_back(std::move(accepted.socket));
            }
            for (const auto& connection : connections_)
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
    void write(const unique_socket& to, const std::string& bytes)
    {
        // What the socket doesn't take is dropped: the bytes repeat.
        (void)::send(to.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    std::string begin_;
    std::string repeated_;
    unique_socket listener_;
    std::vector<unique_socket> connections_;
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
    CHECK(replica.most_buffered <= upstream_pool::max_buffered_bytes);
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
