#include <peridotward/gateway/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <utility>
#include <vector>

using namespace peridotward;

namespace {

constexpr std::uint16_t silent_port = 18741;
constexpr std::uint32_t replicas = 64;

/// At the end of each attempt sends one to the next replica, to which there is
/// no connection yet.
class resending_owner final : public attempt_owner
{
public:
    resending_owner(upstream_pool& pool, time_point expires_at)
        : pool_{&pool}, expires_at_{expires_at}
    {}

    void send(std::uint32_t replica)
    {
        upstream_request request;
        request.owner = this;
        request.attempt = replica;
        request.expires_at = expires_at_;
        sent += pool_->send(replica, std::move(request), {4}) ? 1 : 0;
    }

    std::uint32_t ended = 0;
    std::uint32_t sent = 0;

private:
    void on_attempt_end(
        std::uint32_t attempt, forward_outcome, response_message*) override
    {
        ++ended;
        if (attempt + 1 < replicas)
            send(attempt + 1);
    }

    void on_attempt_written(std::uint32_t) override {}

    [[nodiscard]] std::string serialize_attempt(std::uint32_t) const override
    {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    upstream_pool* pool_;
    time_point expires_at_;
};

} // namespace

TEST_CASE(
    "pool: the report of an overdue attempt may send to a new replica",
    "[pool]")
{
    manual_clock clock;
    reactor loop{clock};
    upstream_catalog catalog;
    for (std::uint32_t i = 0; i < replicas; ++i) {
        upstream_record record;
        record.id = "r" + std::to_string(i);
        record.service = "s";
        record.address = {"127.0.0.1", silent_port};
        catalog.publish(std::move(record), clock.now());
    }
    const auto listener = listen_tcp({"127.0.0.1", silent_port});
    REQUIRE(listener);
    const header_names names;
    upstream_pool pool{loop, catalog, names};
    const boost::intrusive_ptr<resending_owner> owner{
        new resending_owner{pool, clock.now()}};
    for (int i = 0; i < 4; ++i)
        owner->send(0);
    for (std::uint32_t round = 0; round < replicas; ++round) {
        clock.advance(seconds{1});
        loop.refresh();
        pool.check(loop.now());
    }
    CHECK(owner->ended == owner->sent);
    CHECK(owner->sent == 4 * replicas);
    CHECK(pool.connection_count() == 0);
}

namespace {

/// A replica that accepts connections but never answers, with its pool.
struct silent_replica
{
    manual_clock clock;
    reactor loop{clock};
    upstream_catalog catalog;
    header_names names;
    upstream_pool pool{loop, catalog, names};
    result<unique_socket> listener = listen_tcp({"127.0.0.1", silent_port});

    silent_replica()
    {
        upstream_record record;
        record.id = "r";
        record.service = "s";
        record.address = {"127.0.0.1", silent_port};
        catalog.publish(std::move(record), clock.now());
    }

    void advance_time(duration time)
    {
        clock.advance(time);
        loop.refresh();
        pool.check(loop.now());
    }
};

/// Records how its attempts end.
class recording_owner final : public attempt_owner
{
public:
    bool send(silent_replica& to, std::uint32_t attempt, seconds timeout)
    {
        upstream_request request;
        request.owner = this;
        request.attempt = attempt;
        request.expires_at = to.clock.now() + timeout;
        return to.pool.send(0, std::move(request), {1, max_idle});
    }
    void on_attempt_written(std::uint32_t attempt) override
    {
        written.push_back(attempt);
    }

    [[nodiscard]] std::string serialize_attempt(std::uint32_t) const override
    {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    std::vector<std::pair<std::uint32_t, forward_outcome>> ended;
    std::vector<std::uint32_t> written;
    duration max_idle = duration::max();

private:
    void on_attempt_end(
        std::uint32_t attempt,
        forward_outcome outcome,
        response_message*) override
    {
        ended.emplace_back(attempt, outcome);
    }
};

using waiting_requests = send_queue<upstream_request>;

} // namespace

TEST_CASE(
    "pool: requests wait for a connection, up to the limit of the queue",
    "[pool]")
{
    silent_replica replica;
    REQUIRE(replica.listener);
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    REQUIRE(owner->send(replica, 0, seconds{1}));
    for (std::uint32_t i = 0; i < waiting_requests::waiting_per_connection; ++i)
        CHECK(owner->send(replica, 1 + i, seconds{9}));
    CHECK(
        replica.pool.waiting_count() ==
        waiting_requests::waiting_per_connection);
    CHECK(replica.pool.connection_count() == 1);
    CHECK_FALSE(owner->send(replica, 9, seconds{9}));
    CHECK(owner->ended.empty());

    // The first attempt times out, and a queued one uses a new connection.
    replica.advance_time(seconds{2});
    REQUIRE(owner->ended.size() == 1);
    CHECK(owner->ended.front().first == 0);
    CHECK(replica.pool.connection_count() == 1);
    CHECK(
        replica.pool.waiting_count() ==
        waiting_requests::waiting_per_connection - 1);

    CHECK(replica.pool.withdraw(0, *owner, 4));
    CHECK_FALSE(replica.pool.withdraw(0, *owner, 4));
    CHECK_FALSE(replica.pool.withdraw(0, *owner, 0));
    replica.pool.abort_all(*owner);
    CHECK(replica.pool.waiting_count() == 0);
    CHECK(replica.pool.connection_count() == 0);
    CHECK(owner->ended.size() == 1);
}

TEST_CASE(
    "pool: the end of a connection is no sign that upstreams can be reached",
    "[pool]")
{
    silent_replica replica;
    REQUIRE(replica.listener);
    replica.pool.probe(0);
    replica.loop.run_once();
    unique_socket accepted{
        ::accept(replica.listener->descriptor(), nullptr, nullptr)};
    REQUIRE(accepted);
    replica.pool.contact().on_tried(0, replica.clock.now());
    accepted.close();
    replica.loop.run_once();
    CHECK(replica.pool.connection_count() == 0);
    CHECK(replica.pool.contact().silent(
        replica.clock.now() + upstream_contact::probe_after));
}

TEST_CASE("pool: queued requests of a draining replica end unsent", "[pool]")
{
    silent_replica replica;
    REQUIRE(replica.listener);
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    REQUIRE(owner->send(replica, 0, seconds{9}));
    REQUIRE(owner->send(replica, 1, seconds{9}));
    auto leaving = replica.catalog.at(0).published;
    leaving.draining = true;
    replica.catalog.publish(leaving, replica.clock.now());
    replica.advance_time(milliseconds{100});
    REQUIRE(owner->ended.size() == 1);
    CHECK(owner->ended.front() == std::pair{1U, forward_outcome::unsent});
    replica.pool.abort_all(*owner);
}

TEST_CASE("pool: queued requests of a removed replica end unsent", "[pool]")
{
    silent_replica replica;
    REQUIRE(replica.listener);
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    REQUIRE(owner->send(replica, 0, seconds{9}));
    REQUIRE(owner->send(replica, 1, seconds{9}));
    replica.pool.remove_replica(0);
    REQUIRE(owner->ended.size() == 1);
    CHECK(owner->ended.front() == std::pair{1U, forward_outcome::unsent});
    CHECK(replica.pool.waiting_count() == 0);
    replica.pool.abort_all(*owner);
}

TEST_CASE(
    "pool: an attempt that is taken back while its connection is made isn't "
    "sent",
    "[pool]")
{
    silent_replica replica;
    REQUIRE(replica.listener);
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    REQUIRE(owner->send(replica, 0, seconds{9}));
    CHECK_FALSE(replica.pool.withdraw(0, *owner, 0));
    CHECK(replica.pool.withdraw_unsent(0, *owner, 0));
    CHECK_FALSE(replica.pool.withdraw_unsent(0, *owner, 0));
    CHECK(replica.pool.connection_count() == 1);
    // The connection that was made takes the next attempt.
    replica.loop.run_once();
    REQUIRE(owner->send(replica, 1, seconds{9}));
    CHECK(replica.pool.connection_count() == 1);
    CHECK(owner->written == std::vector{1U});
    CHECK_FALSE(replica.pool.withdraw_unsent(0, *owner, 1));
    replica.pool.abort_all(*owner);
}

TEST_CASE("pool: connections are closed after their max idle time", "[pool]")
{
    silent_replica replica;
    REQUIRE(replica.listener);
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    owner->max_idle = milliseconds{250};
    REQUIRE(owner->send(replica, 0, seconds{9}));
    REQUIRE(replica.pool.withdraw_unsent(0, *owner, 0));
    replica.loop.run_once();
    replica.advance_time(milliseconds{200});
    CHECK(replica.pool.connection_count() == 1);
    replica.advance_time(milliseconds{100});
    CHECK(replica.pool.connection_count() == 0);
}

// Guards against an attempt that is dropped without a report when the limits
// have fallen since it was queued: its request never ends.
TEST_CASE("pool: queued attempts beyond a lower limit are reported", "[pool]")
{
    constexpr std::uint32_t before = 4;
    constexpr std::uint32_t attempts = 5 * before;
    silent_replica replica;
    const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
    for (std::uint32_t i = 0; i < attempts; ++i) {
        upstream_request request;
        request.owner = owner;
        request.attempt = i;
        request.expires_at = replica.clock.now() + seconds{60};
        REQUIRE(replica.pool.send(0, std::move(request), {before}));
    }
    REQUIRE(replica.pool.waiting_count() == attempts - before);
    replica.pool.limit_connections(0, {1});
    replica.pool.send_waiting(0);
    CHECK(
        owner->ended.size() + replica.pool.waiting_count() ==
        attempts - before);
    CHECK(replica.pool.waiting_count() < attempts - before);
}
