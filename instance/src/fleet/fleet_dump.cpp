#include "fleet/fleet_dump.hpp"

namespace peridotward {

namespace {

std::int64_t milliseconds_until(time_point end, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(end - now).count();
}

json dump_members(const membership& members)
{
    json list = json::array();
    for (const auto& [instance_id, member] : members.members())
        list.push_back(
            {{"seat", instance_id},
             {"state", name_of(member.latest_update.state)},
             {"ready", member.latest_update.ready},
             {"incarnation", member.latest_update.incarnation},
             {"domain", member.latest_update.domain},
             {"bundle_version", member.config.version}});
    return list;
}

json dump_lease(
    const lease_view& lease, const lease_controller& leases, time_point now)
{
    json document{{"phase", name_of(lease.phase)}, {"rank", lease.rank}};
    if (leases.holds(lease.upstream, now))
        document["valid_ms"] = milliseconds_until(lease.valid_until, now);
    if (!lease.granted_to.empty()) {
        document["vote_for"] = lease.granted_to;
        document["vote_ms"] = milliseconds_until(lease.granted_until, now);
    }
    return document;
}

json dump_budget(const budget_view& budget)
{
    return {
        {"limit", budget.limit},
        {"slots", budget.slots},
        {"in_flight", budget.in_flight},
        {"warmth", name_of(budget.warmup)},
        {"removed", budget.removed},
        {"draining", budget.draining},
    };
}

/// \returns The leases and budgets of the upstreams that this instance votes
/// on, as known here.
json dump_upstreams(const fleet_runner& fleet, time_point now)
{
    const auto& leases = fleet.leases();
    const auto& in_force = *leases.in_force();
    json upstreams = json::object();
    for (const auto& lease : leases.view()) {
        json upstream{
            {"likely_owner", leases.likely_owner(lease.upstream, now)},
            {"held_here", leases.holds(lease.upstream, now)},
            {"lease", dump_lease(lease, leases, now)},
            {"budget", dump_budget(fleet.budgets().view(lease.upstream, now))},
        };
        json voters = json::array();
        for (const auto voter : leases.voters().of(lease.upstream).ranked())
            voters.push_back(in_force.instances[voter.position()].id);
        upstream["voters"] = std::move(voters);
        upstreams[in_force.at(lease.upstream).id] = std::move(upstream);
    }
    return upstreams;
}

json dump_link(const peer_link_counts& counts)
{
    return {
        {"frames_out", counts.frames_out},
        {"bytes_out", counts.bytes_out},
        {"frames_in", counts.frames_in},
        {"bytes_in", counts.bytes_in},
        {"refused", counts.refused},
        {"invalid", counts.invalid},
        {"dropped", counts.dropped},
        {"connects", counts.connection_attempts},
    };
}

} // namespace

json dump_fleet(const fleet_runner& fleet)
{
    const auto now = fleet.state().loop.now();
    json document{
        {"incarnation", fleet.incarnation()},
        {"superseded", fleet.members().superseded()},
        {"leases_held", fleet.leases().held_count(now)},
        {"members", dump_members(fleet.members())},
        {"link", dump_link(fleet.link_counts())},
    };
    if (fleet.leases().in_force())
        document["upstreams"] = dump_upstreams(fleet, now);
    return document;
}

} // namespace peridotward
