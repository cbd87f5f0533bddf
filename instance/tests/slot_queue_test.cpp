#include "owners/slot_queue.hpp"

#include <peridotward/base/clock.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace peridotward;

namespace {

constexpr std::string_view one_upstream = R"({
    "version": 1, "deployment": "test",
    "domains": [{"id": "d", "region": "r", "state": "in"}],
    "seats": [{"id": "s", "domain": "d"}],
    "caller_classes": [{"id": "c", "priority": "normal"}],
    "services": [{"id": "shard", "kind": "search", "slots": 1,
        "connections": 10, "cold_slots": 1, "connect_cost_ms": 1,
        "cold_ramp_ms": 1000}],
    "upstreams": [{"id": "u", "service": "shard", "domain": "d",
        "address": "127.33.1.1:9000"}],
    "shard_maps": [{"id": "m", "from_snapshot": 1, "key_space": 10,
        "shards": [{"service": "shard", "range": [0, 10]}]}],
    "searches": [{"id": "all", "map": "m"}]
})";

/// An instance that holds the lease of one upstream with one slot.
struct leased_upstream
{
    leased_upstream() : leases{"s", 1, time.now(), 7}, budgets{leases}
    {
        member_update self;
        self.id = "s";
        self.incarnation = 1;
        membership members{self, 7};
        const auto in_force = parse_bundle(one_upstream).value();
        members.on_configured_instances(*in_force);
        members.set_ready(true, time.now());
        leases.on_bundle(in_force, time.now());
        budgets.on_bundle(in_force, time.now());
        resource = resource_of(in_force->upstreams.front());
        for (int i = 0; i < 100; ++i) {
            leases.on_members(members, time.now());
            step(milliseconds{50});
        }
        REQUIRE(leases.holds(upstream_index{0}, time.now()));
    }

    void step(duration passed)
    {
        time.advance(passed);
        std::vector<outgoing_message> out;
        leases.on_timeout(time.now(), budgets.busy(), out);
        queue.on_timeout(time.now());
    }

    void submit(std::uint64_t id, caller_priority priority, bool hedge = false)
    {
        slot_request request;
        request.upstream = resource;
        request.priority = priority;
        request.hedge = hedge;
        request.deadline = time.now() + milliseconds{500};
        request.run = [this, id](const budget_grant& granted) {
            ran += std::to_string(id);
            grant = granted;
        };
        request.refuse = [this, id](bool) { refused += std::to_string(id); };
        queue.submit(execution_id{id}, std::move(request), time.now());
    }

    void end()
    {
        budgets.on_end(
            grant, attempt_outcome::answered, {}, milliseconds{1}, time.now());
        queue.on_slot_freed(resource, time.now());
    }

    manual_clock time;
    lease_controller leases;
    upstream_budgets budgets;
    slot_queue queue{leases, budgets};
    resource_id resource{};
    budget_grant grant;
    std::string ran;
    std::string refused;
};

} // namespace

TEST_CASE(
    "slot queue - waiting requests run by priority and end before the lease")
{
    leased_upstream fixture;
    fixture.submit(1, caller_priority::normal);
    CHECK(fixture.ran == "1");
    CHECK(
        fixture.grant.latest_end <=
        fixture.leases.valid_until(upstream_index{0}));
    fixture.submit(2, caller_priority::normal);
    fixture.submit(3, caller_priority::urgent);
    CHECK(fixture.ran == "1");
    fixture.end();
    fixture.end();
    CHECK(fixture.ran == "132");
    CHECK(fixture.refused.empty());
}

TEST_CASE("slot queue - a hedge without a free slot and requests past the "
          "deadline are refused")
{
    leased_upstream fixture;
    fixture.submit(1, caller_priority::normal);
    fixture.submit(2, caller_priority::normal, true);
    CHECK(fixture.refused == "2");
    fixture.submit(3, caller_priority::normal);
    fixture.submit(4, caller_priority::normal);
    CHECK(fixture.queue.withdraw(execution_id{4}));
    CHECK_FALSE(fixture.queue.withdraw(execution_id{4}));
    for (int i = 0; i < 12; ++i)
        fixture.step(milliseconds{50});
    CHECK(fixture.refused == "23");
    CHECK(fixture.queue.waiting() == 0);
}

TEST_CASE("slot queue - one request more than max_waiting is refused")
{
    leased_upstream fixture;
    fixture.submit(1, caller_priority::normal);
    for (std::size_t i = 0; i <= slot_queue::max_waiting; ++i)
        fixture.submit(100 + i, caller_priority::bulk);
    CHECK(fixture.queue.waiting() == slot_queue::max_waiting);
    CHECK_FALSE(fixture.refused.empty());
}

TEST_CASE(
    "slot queue - after a pause longer than the lease, a request is refused")
{
    leased_upstream fixture;
    fixture.time.advance(seconds{10});
    fixture.submit(1, caller_priority::normal);
    CHECK(fixture.ran.empty());
    CHECK(fixture.refused == "1");
}
