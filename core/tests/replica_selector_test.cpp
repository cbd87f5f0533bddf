#include <peridotward/core/placement/replica_selector.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr milliseconds typical_latency{10};
constexpr std::uint32_t slots = 2;

/// Replicas of one service, one in each of the domains a, b and c.
struct three_domains
{
    random_source random{7};
    upstream_catalog catalog;
    replica_selector selector{catalog, cold_bounds{}, "a", random};
    forward_service service;
    fleet_view fleet;

    three_domains()
    {
        service.name = "s";
        for (const std::string domain : {"a", "b", "c"}) {
            upstream_record record;
            record.id = domain;
            record.service = "s";
            record.address = {domain, 80};
            record.domain = domain;
            record.slots = slots;
            catalog.publish(std::move(record), start);
        }
    }

    replica& replica_in(std::string_view domain)
    {
        for (const auto number : catalog.of_service("s")) {
            if (catalog.at(number).published.domain == domain)
                return catalog.at(number);
        }
        FAIL("no replica in the requested domain");
        return catalog.at(0);
    }

    /// Reports `count` requests of other instances at the replica of `domain`.
    void report_load(std::string_view domain, std::uint32_t count)
    {
        replica_in(domain).health.on_load({count, 0, slots}, start);
    }

    std::map<std::string, int>
    count_choices(duration kind_latency = typical_latency)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 100; ++i) {
            const auto number =
                selector.choose(service, {}, kind_latency, fleet, start);
            REQUIRE(number);
            ++counts[catalog.at(*number).published.domain];
        }
        return counts;
    }
};

} // namespace

TEST_CASE(
    "replica selector: a free slot in the own domain is preferred",
    "[placement]")
{
    three_domains setup;
    setup.report_load("a", 1);
    CHECK(setup.count_choices()["a"] == 100);
}

TEST_CASE(
    "replica selector: a queue in the own domain is not preferred",
    "[placement]")
{
    three_domains setup;
    setup.report_load("a", 4);
    CHECK(setup.count_choices()["a"] == 0);
}

TEST_CASE(
    "replica selector: a replica with a queue is preferred to shedding ones",
    "[placement]")
{
    three_domains setup;
    // Two of the three replicas refuse most of their requests; the third one
    // has a queue whose requests are answered well within the target.
    for (int i = 0; i < 30; ++i) {
        for (const std::string domain : {"a", "b"}) {
            auto& health = setup.replica_in(domain).health;
            health.on_sent(start);
            if (i % 5 < 2)
                health.on_answered(typical_latency, typical_latency, start);
            else
                health.on_shed(start);
        }
    }
    setup.report_load("c", 10);
    CHECK(setup.count_choices()["c"] == 100);
}

TEST_CASE(
    "replica selector: short requests do not queue behind long ones",
    "[placement]")
{
    constexpr milliseconds long_latency{40};
    const auto chooses_local = [&](duration kind_latency) {
        three_domains setup;
        // Most requests to the service take long.
        for (int i = 0; i < 300; ++i)
            (void)setup.selector.choose(
                setup.service, {}, long_latency, setup.fleet, start);
        // The local replica is slow but free; the others have a queue.
        for (int i = 0; i < 40; ++i) {
            setup.replica_in("a").health.on_sent(start);
            setup.replica_in("a").health.on_answered(
                typical_latency * 6, typical_latency, start);
        }
        setup.report_load("b", slots + 1);
        setup.report_load("c", slots + 1);
        const auto chosen = setup.selector.choose(
            setup.service, {}, kind_latency, setup.fleet, start);
        REQUIRE(chosen);
        return setup.catalog.at(*chosen).published.domain == "a";
    };
    CHECK(chooses_local(typical_latency));
    CHECK_FALSE(chooses_local(long_latency));
}

TEST_CASE(
    "replica selector: a replica that asked for a pause gets no request",
    "[placement]")
{
    three_domains shard;
    const auto until = start + seconds{3};
    shard.replica_in("a").health.pause_until(until);
    shard.replica_in("a").health.pause_until(start + seconds{1});
    CHECK(shard.count_choices().count("a") == 0);
    CHECK(
        shard.selector.earliest_retry(shard.service, shard.fleet, start) ==
        start + replica_selector::no_free_slot_wait);

    for (const auto* domain : {"b", "c"})
        shard.replica_in(domain).health.pause_until(until + seconds{1});
    const auto choose = [&](time_point now) {
        return shard.selector
            .choose(shard.service, {}, typical_latency, shard.fleet, now)
            .has_value();
    };
    CHECK_FALSE(choose(start));
    CHECK_FALSE(choose(until - milliseconds{1}));
    CHECK(choose(until));
    CHECK(
        shard.selector.earliest_retry(shard.service, shard.fleet, start) ==
        until);
    CHECK(
        shard.selector.count_unusable(shard.service, shard.fleet, start)
            .paused == 3);
}
