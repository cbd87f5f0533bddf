#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

bundle_ptr shared(bundle made)
{
    return std::make_shared<bundle>(std::move(made));
}

/// \returns Upstreams that exactly one instance holds.
std::size_t held_once(const fleet_simulation& world)
{
    std::size_t held = 0;
    const auto count =
        static_cast<std::uint32_t>(world.published().upstreams.size());
    for (std::uint32_t i = 0; i < count; ++i)
        held += world.holders_of(upstream_index{i}) == 1 ? 1 : 0;
    return held;
}

} // namespace

TEST_CASE("fleet electorate - own domain first, same for one and for all")
{
    fleet_shape shape;
    shape.instances = 40;
    shape.domains = 3;
    shape.services = 100;
    const auto made = make_bundle(shape);
    const electorate all{made};
    for (std::uint32_t i = 0; i < all.size(); ++i) {
        const upstream_index upstream{i};
        const auto& voters = all.of(upstream);
        CHECK(voters == voters_of(made, upstream));
        CHECK(voters.count == max_voters);
        for (const auto instance : voters.ranked())
            CHECK(
                made.instances[instance.position()].domain ==
                made.at(upstream).domain);
        CHECK(all.find(all.resource(upstream)) == upstream);
    }
}

TEST_CASE("fleet electorate - an instance shares voters with eight at most")
{
    fleet_shape shape;
    shape.instances = 740;
    shape.domains = 5;
    shape.services = 1067;
    const auto made = make_bundle(shape);
    const electorate all{made};
    std::vector<std::set<instance_index>> others(made.instances.size());
    for (std::uint32_t i = 0; i < all.size(); ++i) {
        for (const auto a : all.of(upstream_index{i}).ranked()) {
            for (const auto b : all.of(upstream_index{i}).ranked()) {
                if (a != b)
                    others[a.position()].insert(b);
            }
        }
    }
    for (const auto& neighbours : others)
        CHECK(neighbours.size() <= 8);
}

TEST_CASE("fleet electorate - one more seat changes few electorates")
{
    fleet_shape shape;
    shape.instances = 60;
    shape.services = 200;
    const auto before = make_bundle(shape);
    auto after = before;
    after.instances.push_back({"extra", domain_index{0}});
    std::size_t changed = 0;
    for (std::uint32_t i = 0; i < before.upstreams.size(); ++i) {
        const auto old = voters_of(before, upstream_index{i});
        const auto now = voters_of(after, upstream_index{i});
        const auto left = std::count_if(
            old.ranked().begin(),
            old.ranked().end(),
            [&](instance_index instance) {
                return now.rank_of(instance) == now.count;
            });
        CHECK(left <= 1);
        changed += left;
    }
    // Five of the domain's 30 arcs; the arcs' lengths differ.
    CHECK(changed < before.upstreams.size() / 2);
}

TEST_CASE("fleet lease - a fresh voter grants nothing for one term")
{
    const auto in_force = shared(make_bundle({}));
    const auto instance = voters_of(*in_force, upstream_index{0}).instances[0];
    const time_point start{std::chrono::hours{1}};
    lease_controller voter{
        in_force->instances[instance.position()].id, 1, start, 1};
    voter.on_bundle(in_force, start);
    lease_request wanted;
    wanted.bundle_version = 1;
    wanted.incarnation = 1;
    wanted.wanted = {resource_of(in_force->upstreams[0])};
    std::vector<outgoing_message> out;
    const auto granted_at = [&](duration after) {
        ++wanted.round;
        out.clear();
        voter.on_message("other", wanted, start + after, out);
        return std::get<lease_reply>(out.at(0).message).granted.size();
    };
    CHECK(granted_at(milliseconds{1000}) == 0);
    CHECK(granted_at(milliseconds{1999}) == 0);
    CHECK(granted_at(milliseconds{2000}) == 1);
    wanted.bundle_version = 0;
    CHECK(granted_at(milliseconds{2100}) == 0);
}

TEST_CASE("fleet lease - a dead holder is followed within five seconds")
{
    fleet_simulation world{{}, 11};
    world.run_for(seconds{6});
    const auto all = world.published().upstreams.size();
    REQUIRE(held_once(world) == all);
    world.kill("n0");
    world.run_for(seconds{5});
    CHECK(held_once(world) == all);
    CHECK(world.counts.limit_violations == 0);
}

TEST_CASE("fleet lease - a leaving holder is followed within a second")
{
    fleet_simulation world{{}, 12};
    world.run_for(seconds{6});
    world.leave("n0");
    world.run_for(seconds{1});
    CHECK(held_once(world) == world.published().upstreams.size());
    CHECK(world.find("n0")->leases.released());
    CHECK(world.counts.limit_violations == 0);
}

TEST_CASE("fleet lease - each part of a partition stays under the limits")
{
    fleet_shape shape;
    shape.instances = 8;
    fleet_simulation world{shape, 13};
    world.run_for(seconds{6});
    world.split(0b01010101); // by domain
    world.run_for(seconds{10});
    CHECK(world.counts.limit_violations == 0);
    CHECK(held_once(world) == world.published().upstreams.size());
    world.split(0b00000111);
    world.run_for(seconds{10});
    CHECK(held_once(world) == world.published().upstreams.size());
    world.heal();
    world.run_for(seconds{5});
    CHECK(held_once(world) == world.published().upstreams.size());
    CHECK(world.counts.limit_violations == 0);
}

TEST_CASE("fleet lease - a paused holder sends nothing when it wakes late")
{
    fleet_simulation world{{}, 14};
    world.run_for(seconds{6});
    for (const auto& instance : world.instances()) {
        world.pause(instance, seconds{10});
        world.run_for(seconds{20});
    }
    CHECK(world.counts.limit_violations == 0);
}
