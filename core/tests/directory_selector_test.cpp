#include <peridotward/core/admission/load_meter.hpp>
#include <peridotward/core/budgets/connection_share.hpp>
#include <peridotward/core/membership/instance_selector.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace peridotward;

namespace {

instance_candidate
candidate(std::string id, std::string domain, std::uint32_t capacity)
{
    return {id, std::move(domain), {id, 80}, true, capacity, member_load::calm};
}

std::vector<instance_candidate> uneven_fleet()
{
    std::vector<instance_candidate> fleet;
    for (const std::string domain : {"a", "b", "c"}) {
        for (int i = 0; i < 2; ++i)
            fleet.push_back(
                candidate("big-" + domain + std::to_string(i), domain, 500));
        for (int i = 0; i < 20; ++i)
            fleet.push_back(
                candidate("small-" + domain + std::to_string(i), domain, 120));
    }
    return fleet;
}

std::vector<std::string> ids(const std::vector<instance_candidate>& listed)
{
    std::vector<std::string> found;
    for (const auto& entry : listed)
        found.push_back(entry.id);
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace

TEST_CASE(
    "directory: two strong instances of the domain are listed alone",
    "[directory]")
{
    const auto listed = directory_selector::select(uneven_fleet(), "b", 64);
    CHECK(ids(listed) == std::vector<std::string>{"big-b0", "big-b1"});
}

TEST_CASE(
    "directory: one strong instance of the domain gets a remote one",
    "[directory]")
{
    auto fleet = uneven_fleet();
    std::erase_if(
        fleet, [](const auto& entry) { return entry.id == "big-b0"; });
    const auto listed = directory_selector::select(fleet, "b", 64);
    REQUIRE(listed.size() == 2);
    CHECK(listed.front().id == "big-b1");
    CHECK(listed.back().id.starts_with("big-"));
}

TEST_CASE(
    "directory: weak instances are listed when strong ones are full",
    "[directory]")
{
    auto fleet = uneven_fleet();
    for (auto& entry : fleet) {
        if (entry.id.starts_with("big-"))
            entry.load = member_load::full;
    }
    const auto listed = directory_selector::select(fleet, "b", 64);
    CHECK(listed.size() == 20);
    for (const auto& entry : listed)
        CHECK(entry.id.starts_with("small-b"));
}

TEST_CASE("directory: full instances are listed if all are full", "[directory]")
{
    auto fleet = uneven_fleet();
    for (auto& entry : fleet)
        entry.load = member_load::full;
    CHECK_FALSE(directory_selector::select(fleet, "b", 64).empty());
    for (auto& entry : fleet)
        entry.usable = false;
    CHECK(directory_selector::select(fleet, "b", 64).empty());
}

TEST_CASE(
    "directory: all strong instances are listed for an unknown domain",
    "[directory]")
{
    CHECK(directory_selector::select(uneven_fleet(), "", 64).size() == 6);
    CHECK(directory_selector::select(uneven_fleet(), "", 4).size() == 4);
}

TEST_CASE(
    "load meter: late timers raise the level, with hysteresis", "[directory]")
{
    load_meter meter;
    const time_point due{std::chrono::hours{1}};
    const auto run = [&](int times, milliseconds late) {
        for (int i = 0; i < times; ++i)
            meter.on_timer(due, due + late);
    };
    run(50, milliseconds{8});
    CHECK(meter.level() == member_load::calm);
    run(50, milliseconds{15});
    CHECK(meter.level() == member_load::busy);
    run(50, milliseconds{8});
    CHECK(meter.level() == member_load::busy);
    run(50, milliseconds{60});
    CHECK(meter.level() == member_load::full);
    run(50, milliseconds{1});
    CHECK(meter.level() == member_load::calm);
}

TEST_CASE(
    "connections: senders divide the connection limit of a replica",
    "[directory]")
{
    fleet_view fleet;
    fleet.senders = 6;
    CHECK(connection_share::of(72, fleet) == connection_share::max_connections);
    fleet.senders = 8;
    CHECK(connection_share::of(26, fleet) == 2);
    fleet.senders = 300;
    CHECK(connection_share::of(72, fleet) == 1);
    fleet.sends = false;
    CHECK(connection_share::of(72, fleet) == 1);
    CHECK(connection_share::of(0, fleet) == connection_share::max_connections);
}
