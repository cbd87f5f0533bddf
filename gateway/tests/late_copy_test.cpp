#include "recording_owner.hpp"

#include <peridotward/gateway/socket.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <string>
#include <vector>

using namespace peridotward;

namespace {

constexpr std::uint16_t replica_port = 18745;

std::string answer_of(
    const std::string& status, const std::string& id, const std::string& field)
{
    return "HTTP/1.1 " + status + "\r\n" +
           (id.empty() ? "" : "X-Id: " + id + "\r\n") + field +
           "\r\nContent-Length: 0\r\n\r\n";
}

std::string refusal_of(const std::string& id)
{
    return answer_of("503 Service Unavailable", id, "X-Not-Run: 1");
}

std::string success_of(const std::string& id)
{
    return answer_of("200 OK", id, "X-Signature: s");
}

/// A replica whose answers the test writes, and the pool of an instance in
/// front of it.
class scripted_replica
{
public:
    scripted_replica()
    {
        names.request_id = "X-Id";
        names.not_run = "X-Not-Run";
        names.signature = "X-Signature";
        auto listening = listen_tcp({"127.0.0.1", replica_port});
        REQUIRE(listening);
        listener_ = std::move(*listening);
        upstream_record record;
        record.id = "r";
        record.service = "s";
        record.address = {"127.0.0.1", replica_port};
        catalog.publish(std::move(record), clock.now());
    }

    void run()
    {
        for (int round = 0; round < 6; ++round) {
            loop.defer([] {}); // With a deferred action the loop doesn't wait.
            loop.run_once();
            while (true) {
                auto accepted = accept_tcp(listener_.descriptor());
                if (!accepted.socket)
                    break;
                connections.push_back(std::move(accepted.socket));
            }
        }
    }

    /// Sends bytes to the instance, which may have closed the connection.
    void write(std::size_t connection, const std::string& bytes)
    {
        REQUIRE(connection < connections.size());
        (void)::send(
            connections[connection].descriptor(),
            bytes.data(),
            bytes.size(),
            MSG_NOSIGNAL);
        run();
    }

    /// Sends a request and lets it arrive.
    void send(recording_owner& owner, std::uint32_t attempt, std::string id)
    {
        owner.request_id = std::move(id);
        REQUIRE(owner.send(pool, attempt, 4, seconds{10}));
        run();
    }

    manual_clock clock;
    reactor loop{clock};
    upstream_catalog catalog;
    header_names names;
    upstream_pool pool{loop, catalog, names};
    std::vector<unique_socket> connections;

private:
    unique_socket listener_;
};

using outcomes = std::vector<forward_outcome>;

} // namespace

// Guards against a late copy of a refusal that ends the next attempt of the
// same request, which the replica runs: it would run twice, or count as not
// run.
TEST_CASE(
    "late copy: a request that comes again has another connection",
    "[late_copy]")
{
    for (const auto& first : {refusal_of("a"), success_of("a")}) {
        scripted_replica replica;
        const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
        replica.send(*owner, 0, "a");
        replica.write(0, first);
        REQUIRE(owner->ended.size() == 1);
        replica.send(*owner, 1, "a");
        REQUIRE(replica.connections.size() == 2);
        replica.write(0, first);
        CHECK(owner->ended.size() == 1);
        replica.write(1, success_of("a"));
        REQUIRE(owner->ended.size() == 2);
        CHECK(owner->ended.back() == forward_outcome::answered);
    }
}

TEST_CASE(
    "late copy: other requests use the connection, and skip the copy",
    "[late_copy]")
{
    scripted_replica replica;
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    replica.send(*owner, 0, "a");
    replica.write(0, refusal_of("a"));
    replica.send(*owner, 1, "b");
    CHECK(replica.connections.size() == 1);
    replica.write(0, refusal_of("a"));
    CHECK(owner->ended == outcomes{forward_outcome::refused});
    replica.write(0, success_of("b"));
    CHECK(
        owner->ended ==
        outcomes{forward_outcome::refused, forward_outcome::answered});
}

TEST_CASE(
    "late copy: one that comes while the connection is idle ends it",
    "[late_copy]")
{
    scripted_replica replica;
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    replica.send(*owner, 0, "a");
    replica.write(0, refusal_of("a"));
    CHECK(replica.pool.connection_count() == 1);
    replica.write(0, refusal_of("a"));
    CHECK(replica.pool.connection_count() == 0);
}

TEST_CASE(
    "late copy: a connection on which another upstream answered isn't used "
    "again",
    "[late_copy]")
{
    scripted_replica replica;
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    replica.send(*owner, 0, "a");
    replica.write(0, answer_of("421 Misdirected Request", "a", "X-Not-Run: 1"));
    CHECK(owner->ended == outcomes{forward_outcome::misdirected});
    CHECK(replica.pool.connection_count() == 0);
}

// Guards against an answer that names no request, such as that of a health
// check, which ends an attempt as not run.
TEST_CASE(
    "late copy: an answer without an id says nothing about a later request",
    "[late_copy]")
{
    for (const char* status :
         {"503 Service Unavailable", "421 Misdirected Request", "200 OK"}) {
        scripted_replica replica;
        const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
        replica.send(*owner, 0, "a");
        replica.write(0, success_of("a"));
        replica.send(*owner, 1, "b");
        replica.write(0, answer_of(status, "", "X-Not-Run: 1"));
        INFO(status);
        CHECK(
            owner->ended ==
            outcomes{forward_outcome::answered, forward_outcome::broken});
        CHECK(replica.pool.connection_count() == 0);
        CHECK(replica.pool.untied_answers() == 1);
    }
    // On a connection that has carried nothing else it can be no copy.
    scripted_replica replica;
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    replica.send(*owner, 0, "a");
    replica.write(0, refusal_of(""));
    CHECK(owner->ended == outcomes{forward_outcome::refused});
}
