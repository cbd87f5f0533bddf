#include <peridotward/gateway/upstream_link.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

constexpr std::uint16_t silent_port = 18741;
constexpr std::uint32_t replicas = 64;

/// Sends anew to the next replica, of which no connection is known yet, as
/// soon as an attempt has ended.
class restless_owner final : public attempt_owner
{
public:
    restless_owner(upstream_pool& pool, time_point give_up_at)
        : pool_{&pool}, give_up_at_{give_up_at}
    {}

    void send(std::uint32_t replica)
    {
        upstream_request request;
        request.owner = this;
        request.attempt = replica;
        request.give_up_at = give_up_at_;
        sent += pool_->send(replica, std::move(request), 4) ? 1 : 0;
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

    [[nodiscard]] std::string bytes_for(std::uint32_t) const override
    {
        return "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }

    upstream_pool* pool_;
    time_point give_up_at_;
};

} // namespace

TEST_CASE("pool: an overdue attempt may be followed by one elsewhere", "[pool]")
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
    const protocol_names names;
    upstream_pool pool{loop, catalog, names};
    const boost::intrusive_ptr<restless_owner> owner{
        new restless_owner{pool, clock.now()}};
    for (int i = 0; i < 4; ++i)
        owner->send(0);
    for (std::uint32_t round = 0; round < replicas; ++round) {
        clock.advance(seconds{1});
        loop.refresh();
        pool.check(loop.now());
    }
    CHECK(owner->ended == owner->sent);
    CHECK(owner->sent == 4 * replicas);
    CHECK(pool.connections() == 0);
}
