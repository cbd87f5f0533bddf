#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

fleet_shape membership_shape(std::uint32_t instances)
{
    fleet_shape shape;
    shape.instances = instances;
    shape.services = 1;
    return shape;
}

/// \returns The number of other instances that know `instance_id` in `state`.
std::size_t count_in_state(
    fleet_simulation& fleet, const std::string& instance_id, member_state state)
{
    std::size_t count = 0;
    for (const auto& other : fleet.instances()) {
        auto* running_process = fleet.find(other);
        if (running_process == nullptr || other == instance_id)
            continue;
        const auto* known = running_process->members.find(instance_id);
        count +=
            known != nullptr && known->latest_update.state == state ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("fleet membership - all declare a killed instance dead within 2 s")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fleet_simulation fleet{membership_shape(8), seed};
        fleet.load = 0;
        fleet.run_for(seconds{5});
        fleet.kill("n3");
        fleet.run_for(seconds{2});
        CHECK(count_in_state(fleet, "n3", member_state::dead) == 7);
    }
}

TEST_CASE("fleet membership - 5% loss and 1 s pauses cause no false death")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fleet_simulation fleet{membership_shape(16), seed};
        fleet.load = 0;
        fleet.links.loss = 0.05;
        fleet.run_for(seconds{5});
        for (int step = 0; step < 300; ++step) {
            if (step % 30 == 0)
                fleet.pause("n" + std::to_string(step / 30), seconds{1});
            fleet.run_for(milliseconds{100});
            for (const auto& instance_id : fleet.instances())
                CHECK(
                    count_in_state(fleet, instance_id, member_state::dead) ==
                    0);
        }
    }
}

TEST_CASE("fleet membership - a later start supersedes the earlier one")
{
    fleet_simulation fleet{membership_shape(8), 3};
    fleet.load = 0;
    fleet.run_for(seconds{5});
    fleet.kill("n2");
    fleet.run_for(milliseconds{300});
    fleet.start("n2");
    fleet.run_for(seconds{4});
    CHECK(count_in_state(fleet, "n2", member_state::alive) == 7);
    const auto& restarted = fleet.find("n2")->members;
    CHECK_FALSE(restarted.superseded());
    member_update later = restarted.self();
    ++later.incarnation;
    probe message;
    message.updates = {later};
    auto& members = fleet.find("n2")->members;
    std::vector<outgoing_message> out;
    members.on_message("n1", message, time_point{} + fleet.now(), out);
    CHECK(members.superseded());
    CHECK_FALSE(members.serves("n2"));
}

TEST_CASE("fleet membership - all are alive 5 s after a 120 s partition")
{
    fleet_simulation fleet{membership_shape(8), 4};
    fleet.load = 0;
    fleet.run_for(seconds{5});
    fleet.split(0b00001111);
    fleet.run_for(seconds{120});
    CHECK(count_in_state(fleet, "n0", member_state::dead) == 4);
    fleet.heal();
    fleet.run_for(seconds{5});
    for (const auto& instance_id : fleet.instances())
        CHECK(count_in_state(fleet, instance_id, member_state::alive) == 7);
}

TEST_CASE("fleet membership - an instance sends less than 1 KB per second")
{
    for (const std::uint32_t instances : {8U, 32U, 64U}) {
        auto shape = membership_shape(instances);
        shape.services = 0;
        fleet_simulation fleet{shape, 5};
        fleet.load = 0;
        fleet.run_for(seconds{60});
        fleet.counts = {};
        fleet.run_for(seconds{20});
        CHECK(fleet.counts.bytes / instances / 20 < 1024);
    }
}

TEST_CASE("fleet membership - all learn the highest bundle version within 3 s")
{
    fleet_simulation fleet{membership_shape(8), 6};
    fleet.load = 0;
    fleet.run_for(seconds{5});
    auto& first = fleet.find("n0")->members;
    first.set_config({9, std::string(64, 'e'), 1});
    fleet.run_for(seconds{3});
    for (const auto& instance_id : fleet.instances()) {
        const auto& highest = fleet.find(instance_id)->members.highest_config();
        CHECK(highest.version == 9);
        CHECK(highest.digest == std::string(64, 'e'));
    }
}
