#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

enum class fault_kind : std::uint8_t
{
    kill,
    restart,
    pause,
    split,
    heal,
    worse_links,
    good_links,
    take_out,
    take_out_domain,
    bring_in,
    make_cold,
    replace_instance,
    leave,
    wait,
};

struct fault
{
    fault_kind kind = fault_kind::wait;
    std::uint32_t which = 0;
    milliseconds span{};
};

std::ostream& operator<<(std::ostream& out, const fault& shown)
{
    return out << static_cast<int>(shown.kind) << '/' << shown.which << '/'
               << shown.span.count();
}

constexpr int fault_kinds = 14;
constexpr milliseconds longest_recovery{20000};

rc::Gen<fault> any_fault()
{
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::inRange(0, fault_kinds),
            rc::gen::inRange<std::uint32_t>(0, 1U << 16U),
            rc::gen::inRange(20, 4000)),
        [](const std::tuple<int, std::uint32_t, int>& drawn) {
            return fault{
                static_cast<fault_kind>(std::get<0>(drawn)),
                std::get<1>(drawn),
                milliseconds{std::get<2>(drawn)}};
        });
}

/// Replaces one seat by a new one, after its instance was stopped.
void replace_instance(fleet_simulation& world, const std::string& instance_id)
{
    world.kill(instance_id);
    const auto fresh = instance_id + "+";
    world.publish(
        [&](bundle& changed) {
            const auto index = changed.find_instance(instance_id);
            changed.instances[index.position()].id = fresh;
        },
        milliseconds{3000});
    world.start(fresh);
}

void set_state(
    fleet_simulation& world,
    admin_state state,
    std::uint32_t which,
    bool domain)
{
    world.publish(
        [&](bundle& changed) {
            if (domain)
                changed.domains[which % changed.domains.size()].state = state;
            else
                changed.upstreams[which % changed.upstreams.size()].state =
                    state;
        },
        milliseconds{3000});
}

void bring_all_in(fleet_simulation& world)
{
    world.publish(
        [](bundle& changed) {
            for (auto& domain : changed.domains)
                domain.state = admin_state::in;
            for (auto& upstream : changed.upstreams)
                upstream.state = admin_state::in;
        },
        milliseconds{500});
}

void apply(fleet_simulation& world, const fault& next)
{
    const auto instances = world.instances();
    const auto& instance_id = instances[next.which % instances.size()];
    const auto upstreams =
        static_cast<std::uint32_t>(world.published().upstreams.size());
    switch (next.kind) {
    case fault_kind::kill:
        return world.kill(instance_id);
    case fault_kind::restart:
        world.kill(instance_id);
        return world.start(instance_id);
    case fault_kind::pause:
        return world.pause(instance_id, next.span);
    case fault_kind::split:
        return world.split(next.which);
    case fault_kind::heal:
        return world.heal();
    case fault_kind::worse_links:
        world.links = {0.2, 0.1, microseconds{1500}, next.span / 4};
        return;
    case fault_kind::good_links:
        world.links = {};
        return;
    case fault_kind::take_out:
        return set_state(world, admin_state::out, next.which, false);
    case fault_kind::take_out_domain:
        return set_state(world, admin_state::out, next.which, true);
    case fault_kind::bring_in:
        return bring_all_in(world);
    case fault_kind::make_cold:
        return world.make_cold(upstream_index{next.which % upstreams});
    case fault_kind::replace_instance:
        return replace_instance(world, instance_id);
    case fault_kind::leave:
        return world.leave(instance_id);
    case fault_kind::wait:
        return;
    }
}

void end_faults(fleet_simulation& world)
{
    world.links = {};
    world.stuck = 0;
    world.heal();
    bring_all_in(world);
    for (const auto& instance_id : world.instances()) {
        auto* running = world.find(instance_id);
        const bool left = running != nullptr && running->members.self().state ==
                                                    member_state::leaving;
        if (left)
            world.kill(instance_id);
        world.start(instance_id);
        world.pause(instance_id, {});
    }
}

std::string first_of(const fleet_simulation& world)
{
    if (world.violations.empty())
        return {};
    const auto& first = world.violations.front();
    return first.text + " at " + std::to_string(first.at / milliseconds{1}) +
           " ms";
}

/// Runs generated faults with a seed of its own, the same in each run.
void fuzz(std::uint64_t seed, const fleet_shape& shape)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 40;
    params.disableShrinking = true;
    const auto found = rc::detail::checkTestable(
        [&] {
            const auto count = *rc::gen::inRange<std::size_t>(1, 16);
            const auto faults =
                *rc::gen::container<std::vector<fault>>(count, any_fault());
            fleet_simulation world{shape, *rc::gen::arbitrary<std::uint64_t>()};
            world.run_for(milliseconds{3000});
            for (const auto& next : faults) {
                apply(world, next);
                world.run_for(next.span);
            }
            end_faults(world);
            world.run_for(longest_recovery);
            RC_LOG(first_of(world));
            RC_ASSERT(world.counts.limit_violations == 0U);
            RC_LOG(world.unrecovered());
            RC_ASSERT(world.unrecovered().empty());
        },
        rc::detail::TestMetadata{},
        params);
    rc::detail::printResultMessage(found, std::cerr);
    CHECK(found.is<rc::detail::SuccessResult>());
}

} // namespace

TEST_CASE("fleet fuzz - slots hold and come back, no domain limits")
{
    fuzz(20261203, {});
}

TEST_CASE("fleet fuzz - limits of failure domains hold")
{
    fleet_shape shape;
    shape.instances = 8;
    shape.domains = 3;
    shape.slots = 2;
    shape.domain_limit = 5;
    fuzz(57, shape);
}
