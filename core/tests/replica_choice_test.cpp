#include <peridotward/core/placement/replica_selector.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr milliseconds usual{10};
constexpr std::uint32_t slots = 2;

/// Replicas of one service, one in each of the domains a, b and c.
struct three_domains
{
    random_source random{7};
    upstream_catalog catalog;
    replica_selector choice{catalog, cold_bounds{}, "a", random};
    forward_service service;
    fleet_view fleet;

    three_domains()
    {
        service.name = "s";
        for (const std::string domain : {"a", "b", "c"}) {
            upstream_record record;
            record.id = domain;
            record.service = "s";
            record.domain = domain;
            record.slots = slots;
            catalog.publish(std::move(record), start);
        }
    }

    replica& in(std::string_view domain)
    {
        for (const auto number : catalog.of_service("s")) {
            if (catalog.at(number).published.domain == domain)
                return catalog.at(number);
        }
        FAIL("no such domain");
        return catalog.at(0);
    }

    /// Others have `count` requests at the replica of `domain`.
    void crowd(std::string_view domain, std::uint32_t count)
    {
        in(domain).health.on_load({count, 0, slots}, start);
    }

    std::map<std::string, int> chosen(duration kind_usual = usual)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 100; ++i) {
            const auto number =
                choice.choose(service, {}, kind_usual, fleet, start);
            REQUIRE(number);
            ++counts[catalog.at(*number).published.domain];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("choice: calm requests stay in the own domain", "[placement]")
{
    three_domains world;
    world.crowd("a", 1);
    CHECK(world.chosen()["a"] == 100);
}

TEST_CASE("choice: a queue is no better for being near", "[placement]")
{
    three_domains world;
    world.crowd("a", 4);
    CHECK(world.chosen()["a"] == 0);
}

TEST_CASE(
    "choice: a sound replica with a queue goes before one that sheds",
    "[placement]")
{
    three_domains world;
    // Half of the replicas refuse most of what they get; the sound one bears a
    // queue that is answered well within the target.
    for (int i = 0; i < 30; ++i) {
        for (const std::string domain : {"a", "b"}) {
            auto& health = world.in(domain).health;
            health.on_sent(start);
            if (i % 5 < 2)
                health.on_answered(usual, usual, start);
            else
                health.on_shed(start);
        }
    }
    world.crowd("c", 10);
    CHECK(world.chosen()["c"] == 100);
}

TEST_CASE("choice: short requests do not queue behind long ones", "[placement]")
{
    constexpr milliseconds long_usual{40};
    const auto near_chosen = [&](duration kind_usual) {
        three_domains world;
        // Most of what the service gets takes long.
        for (int i = 0; i < 300; ++i)
            (void)world.choice.choose(
                world.service, {}, long_usual, world.fleet, start);
        // The near replica is slow but free; the others have a queue.
        for (int i = 0; i < 40; ++i) {
            world.in("a").health.on_sent(start);
            world.in("a").health.on_answered(usual * 6, usual, start);
        }
        world.crowd("b", slots + 1);
        world.crowd("c", slots + 1);
        const auto chosen = world.choice.choose(
            world.service, {}, kind_usual, world.fleet, start);
        REQUIRE(chosen);
        return world.catalog.at(*chosen).published.domain == "a";
    };
    CHECK(near_chosen(usual));
    CHECK_FALSE(near_chosen(long_usual));
}
