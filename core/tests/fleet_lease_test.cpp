#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

bundle_ptr shared(bundle value)
{
    return std::make_shared<bundle>(std::move(value));
}

/// \returns The number of upstreams that exactly one instance holds.
std::size_t held_once(const fleet_simulation& simulation)
{
    std::size_t held = 0;
    const auto count =
        static_cast<std::uint32_t>(simulation.published().upstreams.size());
    for (std::uint32_t i = 0; i < count; ++i)
        held += simulation.holders_of(upstream_index{i}) == 1 ? 1 : 0;
    return held;
}

} // namespace

TEST_CASE("fleet voters - voters are of the upstream's domain, as in voters_of")
{
    fleet_shape shape;
    shape.instances = 40;
    shape.domains = 3;
    shape.services = 100;
    const auto generated = make_bundle(shape);
    const voter_table all{generated};
    for (std::uint32_t i = 0; i < all.size(); ++i) {
        const upstream_index upstream{i};
        const auto& voters = all.of(upstream);
        CHECK(voters == voters_of(generated, upstream));
        CHECK(voters.count == max_voters);
        for (const auto instance : voters.ranked())
            CHECK(
                generated.instances[instance.position()].domain ==
                generated.at(upstream).domain);
        CHECK(all.find(all.resource(upstream)) == upstream);
    }
}

TEST_CASE(
    "fleet voters - an instance shares voter sets with at most eight others")
{
    fleet_shape shape;
    shape.instances = 740;
    shape.domains = 5;
    shape.services = 1067;
    const auto generated = make_bundle(shape);
    const voter_table all{generated};
    std::vector<std::set<instance_index>> others(generated.instances.size());
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

TEST_CASE(
    "fleet voters - an added instance replaces at most one voter of a set")
{
    fleet_shape shape;
    shape.instances = 60;
    shape.services = 200;
    const auto before = make_bundle(shape);
    auto after = before;
    after.instances.push_back({"extra", domain_index{0}});
    std::size_t changed = 0;
    for (std::uint32_t i = 0; i < before.upstreams.size(); ++i) {
        const auto previous = voters_of(before, upstream_index{i});
        const auto updated = voters_of(after, upstream_index{i});
        const auto replaced = std::count_if(
            previous.ranked().begin(),
            previous.ranked().end(),
            [&](instance_index instance) {
                return updated.rank_of(instance) == updated.count;
            });
        CHECK(replaced <= 1);
        changed += replaced;
    }
    // Expected: five of the domain's 30 arcs; arc lengths vary.
    CHECK(changed < before.upstreams.size() / 2);
}

TEST_CASE("fleet lease - a voter grants nothing for one term after its start")
{
    const auto in_force = shared(make_bundle({}));
    const auto instance = voters_of(*in_force, upstream_index{0}).instances[0];
    const time_point start{std::chrono::hours{1}};
    lease_controller voter{
        in_force->instances[instance.position()].id, 1, start, 1};
    voter.on_bundle(in_force, start);
    lease_request request;
    request.bundle_version = 1;
    request.incarnation = 1;
    request.wanted = {resource_of(in_force->upstreams[0])};
    std::vector<outgoing_message> out;
    const auto granted_at = [&](duration after) {
        ++request.round;
        out.clear();
        voter.on_message("other", request, start + after, out);
        return std::get<lease_reply>(out.at(0).message).granted.size();
    };
    CHECK(granted_at(milliseconds{1000}) == 0);
    CHECK(granted_at(milliseconds{1999}) == 0);
    CHECK(granted_at(milliseconds{2000}) == 1);
    request.bundle_version = 0;
    CHECK(granted_at(milliseconds{2100}) == 0);
}

TEST_CASE("fleet lease - a dead holder is replaced within five seconds")
{
    fleet_simulation simulation{{}, 11};
    simulation.run_for(seconds{6});
    const auto all = simulation.published().upstreams.size();
    REQUIRE(held_once(simulation) == all);
    simulation.kill("n0");
    simulation.run_for(seconds{5});
    CHECK(held_once(simulation) == all);
    CHECK(simulation.counts.limit_violations == 0);
}

TEST_CASE("fleet lease - a leaving holder is replaced within a second")
{
    fleet_simulation simulation{{}, 12};
    simulation.run_for(seconds{6});
    simulation.leave("n0");
    simulation.run_for(seconds{1});
    CHECK(held_once(simulation) == simulation.published().upstreams.size());
    CHECK(simulation.find("n0")->leases.released());
    CHECK(simulation.counts.limit_violations == 0);
}

TEST_CASE("fleet lease - each side of a partition stays within the limits")
{
    fleet_shape shape;
    shape.instances = 8;
    fleet_simulation simulation{shape, 13};
    simulation.run_for(seconds{6});
    simulation.split(0b01010101); // by domain
    simulation.run_for(seconds{10});
    CHECK(simulation.counts.limit_violations == 0);
    CHECK(held_once(simulation) == simulation.published().upstreams.size());
    simulation.split(0b00000111);
    simulation.run_for(seconds{10});
    CHECK(held_once(simulation) == simulation.published().upstreams.size());
    simulation.heal();
    simulation.run_for(seconds{5});
    CHECK(held_once(simulation) == simulation.published().upstreams.size());
    CHECK(simulation.counts.limit_violations == 0);
}

TEST_CASE("fleet lease - a holder paused beyond its lease exceeds no limit")
{
    fleet_simulation simulation{{}, 14};
    simulation.run_for(seconds{6});
    for (const auto& instance : simulation.instances()) {
        simulation.pause(instance, seconds{10});
        simulation.run_for(seconds{20});
    }
    CHECK(simulation.counts.limit_violations == 0);
}
