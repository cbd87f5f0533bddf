#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

fleet_shape members_only(std::uint32_t instances)
{
    fleet_shape shape;
    shape.instances = instances;
    shape.services = 1;
    return shape;
}

/// \returns How many others believe that `instance_id` is in `state`.
std::size_t believers(
    fleet_simulation& world, const std::string& instance_id, member_state state)
{
    std::size_t count = 0;
    for (const auto& other : world.instances()) {
        auto* running = world.find(other);
        if (running == nullptr || other == instance_id)
            continue;
        const auto* known = running->members.find(instance_id);
        count +=
            known != nullptr && known->latest_update.state == state ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("fleet membership - a failure is found within two seconds")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_simulation world{members_only(8), seed};
        world.load = 0;
        world.run_for(seconds{5});
        world.kill("n3");
        world.run_for(seconds{2});
        CHECK(believers(world, "n3", member_state::dead) == 7);
    }
}

TEST_CASE("fleet membership - no false removal at 5% loss and a 1 s pause")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fleet_simulation world{members_only(16), seed};
        world.load = 0;
        world.links.loss = 0.05;
        world.run_for(seconds{5});
        for (int step = 0; step < 300; ++step) {
            if (step % 30 == 0)
                world.pause("n" + std::to_string(step / 30), seconds{1});
            world.run_for(milliseconds{100});
            for (const auto& instance_id : world.instances())
                CHECK(believers(world, instance_id, member_state::dead) == 0);
        }
    }
}

TEST_CASE("fleet membership - a seat's later start replaces the earlier one")
{
    fleet_simulation world{members_only(8), 3};
    world.load = 0;
    world.run_for(seconds{5});
    world.kill("n2");
    world.run_for(milliseconds{300});
    world.start("n2");
    world.run_for(seconds{4});
    CHECK(believers(world, "n2", member_state::alive) == 7);
    const auto& fresh = world.find("n2")->members;
    CHECK_FALSE(fresh.superseded());
    member_update later = fresh.self();
    ++later.incarnation;
    probe telling;
    telling.updates = {later};
    auto& members = world.find("n2")->members;
    std::vector<outgoing_message> out;
    members.on_message("n1", telling, time_point{} + world.now(), out);
    CHECK(members.superseded());
    CHECK_FALSE(members.serves("n2"));
}

TEST_CASE("fleet membership - parts find each other after a long partition")
{
    fleet_simulation world{members_only(8), 4};
    world.load = 0;
    world.run_for(seconds{5});
    world.split(0b00001111);
    world.run_for(seconds{120});
    CHECK(believers(world, "n0", member_state::dead) == 4);
    world.heal();
    world.run_for(seconds{5});
    for (const auto& instance_id : world.instances())
        CHECK(believers(world, instance_id, member_state::alive) == 7);
}

TEST_CASE("fleet membership - bytes per instance stay under 1 KB a second")
{
    for (const std::uint32_t instances : {8U, 32U, 64U}) {
        auto shape = members_only(instances);
        shape.services = 0;
        fleet_simulation world{shape, 5};
        world.load = 0;
        world.run_for(seconds{60});
        world.counts = {};
        world.run_for(seconds{20});
        CHECK(world.counts.bytes / instances / 20 < 1024);
    }
}

TEST_CASE("fleet membership - the highest configuration is known to all")
{
    fleet_simulation world{members_only(8), 6};
    world.load = 0;
    world.run_for(seconds{5});
    auto& first = world.find("n0")->members;
    first.set_config({9, std::string(64, 'e'), 1});
    world.run_for(seconds{3});
    for (const auto& instance_id : world.instances()) {
        const auto& highest = world.find(instance_id)->members.highest_config();
        CHECK(highest.version == 9);
        CHECK(highest.digest == std::string(64, 'e'));
    }
}
