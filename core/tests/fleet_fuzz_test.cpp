// Applies random faults to a simulated fleet. Whatever the faults, no upstream
// or failure domain may get more requests than its limit, and after the faults
// all slots must be usable again within 20 s.

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
    degrade_links,
    restore_links,
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
    std::uint32_t target = 0;
    milliseconds span{};
};

std::ostream& operator<<(std::ostream& out, const fault& shown)
{
    return out << static_cast<int>(shown.kind) << '/' << shown.target << '/'
               << shown.span.count();
}

constexpr int fault_kinds = 14;
constexpr milliseconds max_recovery{20000};

rc::Gen<fault> any_fault()
{
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::inRange(0, fault_kinds),
            rc::gen::inRange<std::uint32_t>(0, 1U << 16U),
            rc::gen::inRange(20, 4000)),
        [](const std::tuple<int, std::uint32_t, int>& generated) {
            return fault{
                static_cast<fault_kind>(std::get<0>(generated)),
                std::get<1>(generated),
                milliseconds{std::get<2>(generated)}};
        });
}

/// Stops an instance and replaces it in the bundle by one with another id.
void replace_instance(fleet_simulation& fleet, const std::string& instance_id)
{
    fleet.kill(instance_id);
    const auto new_id = instance_id + "+";
    fleet.publish(
        [&](bundle& changed) {
            const auto index = changed.find_instance(instance_id);
            changed.instances[index.position()].id = new_id;
        },
        milliseconds{3000});
    fleet.start(new_id);
}

void set_state(
    fleet_simulation& fleet,
    admin_state state,
    std::uint32_t target,
    bool domain)
{
    fleet.publish(
        [&](bundle& changed) {
            if (domain)
                changed.domains[target % changed.domains.size()].state = state;
            else
                changed.upstreams[target % changed.upstreams.size()].state =
                    state;
        },
        milliseconds{3000});
}

void admit_all(fleet_simulation& fleet)
{
    fleet.publish(
        [](bundle& changed) {
            for (auto& domain : changed.domains)
                domain.state = admin_state::in;
            for (auto& upstream : changed.upstreams)
                upstream.state = admin_state::in;
        },
        milliseconds{500});
}

void apply(fleet_simulation& fleet, const fault& next)
{
    const auto instances = fleet.instances();
    const auto& instance_id = instances[next.target % instances.size()];
    const auto upstreams =
        static_cast<std::uint32_t>(fleet.published().upstreams.size());
    switch (next.kind) {
    case fault_kind::kill:
        return fleet.kill(instance_id);
    case fault_kind::restart:
        fleet.kill(instance_id);
        return fleet.start(instance_id);
    case fault_kind::pause:
        return fleet.pause(instance_id, next.span);
    case fault_kind::split:
        return fleet.split(next.target);
    case fault_kind::heal:
        return fleet.heal();
    case fault_kind::degrade_links:
        fleet.links = {0.2, 0.1, microseconds{1500}, next.span / 4};
        return;
    case fault_kind::restore_links:
        fleet.links = {};
        return;
    case fault_kind::take_out:
        return set_state(fleet, admin_state::out, next.target, false);
    case fault_kind::take_out_domain:
        return set_state(fleet, admin_state::out, next.target, true);
    case fault_kind::bring_in:
        return admit_all(fleet);
    case fault_kind::make_cold:
        return fleet.make_cold(upstream_index{next.target % upstreams});
    case fault_kind::replace_instance:
        return replace_instance(fleet, instance_id);
    case fault_kind::leave:
        return fleet.leave(instance_id);
    case fault_kind::wait:
        return;
    }
}

void end_faults(fleet_simulation& fleet)
{
    fleet.links = {};
    fleet.stuck = 0;
    fleet.heal();
    admit_all(fleet);
    for (const auto& instance_id : fleet.instances()) {
        auto* running = fleet.find(instance_id);
        const bool is_leaving =
            running != nullptr &&
            running->members.self().state == member_state::leaving;
        if (is_leaving)
            fleet.kill(instance_id);
        fleet.start(instance_id);
        fleet.pause(instance_id, {});
    }
}

std::string first_violation(const fleet_simulation& fleet)
{
    if (fleet.violations.empty())
        return {};
    const auto& first = fleet.violations.front();
    return first.text + " at " + std::to_string(first.at / milliseconds{1}) +
           " ms";
}

/// Runs 40 generated fault sequences with a fixed seed.
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
            fleet_simulation fleet{shape, *rc::gen::arbitrary<std::uint64_t>()};
            fleet.run_for(milliseconds{3000});
            for (const auto& next : faults) {
                apply(fleet, next);
                fleet.run_for(next.span);
            }
            end_faults(fleet);
            fleet.run_for(max_recovery);
            RC_LOG(first_violation(fleet));
            RC_ASSERT(fleet.counts.limit_violations == 0U);
            RC_LOG(fleet.recovery_problem());
            RC_ASSERT(fleet.recovery_problem().empty());
        },
        rc::detail::TestMetadata{},
        params);
    rc::detail::printResultMessage(found, std::cerr);
    CHECK(found.is<rc::detail::SuccessResult>());
}

} // namespace

TEST_CASE("fleet fuzz - slot limits hold and all slots are usable again")
{
    fuzz(20261203, {});
}

TEST_CASE("fleet fuzz - limits of slots and failure domains hold")
{
    fleet_shape shape;
    shape.instances = 8;
    shape.domains = 3;
    shape.slots = 2;
    shape.domain_limit = 5;
    fuzz(57, shape);
}
