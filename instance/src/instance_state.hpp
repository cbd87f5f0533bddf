#pragma once

#include "event_loop.hpp"
#include "operators/metrics_registry.hpp"
#include "queries/query_trace.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/config/instance_list.hpp>
#include <peridotward/config/settings.hpp>
#include <peridotward/core/configuration/config_store.hpp>
#include <peridotward/core/placement/replica_stats.hpp>
#include <peridotward/core/query/hedge_budget.hpp>
#include <peridotward/core/query/snapshot_tracker.hpp>

#include <string>
#include <unordered_set>

namespace peridotward {

/// What the parts of one instance share; owned by the loop's thread.
struct instance_state
{
    instance_state(settings wanted, const clock& time, std::uint64_t seed)
        : configured{std::move(wanted)},
          loop{time},
          random{seed},
          process{configured.instance.id + "." + std::to_string(seed)},
          recent{configured.limits.recent_queries}
    {}

    settings configured;
    event_loop loop;
    metrics_registry counted;
    random_source random;
    std::string process; ///< Instance and start; unique over restarts.
    const config_store* configuration = nullptr; ///< Null in tests of parts.
    bundle_ptr in_force;   ///< Null until a bundle is accepted.
    wall_time accepted_at; ///< When it came into force.
    instance_list listed;
    snapshot_tracker snapshots;
    replica_stats replicas;
    hedge_budget extras;                         ///< For hedges and retries.
    std::unordered_set<std::string> running_ids; ///< Callers' request ids.
    recent_queries recent;
    std::string waiting_for; ///< What the fleet owes before serving.
    bool leaving = false;
    bool superseded = false; ///< A later start fills the same seat.

    /// Puts `next` in force; what is known of upstreams is kept.
    void put_in_force(bundle_ptr next)
    {
        snapshots.rebase(in_force.get(), *next);
        replicas.rebase(in_force.get(), *next);
        in_force = std::move(next);
    }

    /// \returns Whether the instance can serve, else the reason.
    [[nodiscard]] std::string not_ready_reason() const
    {
        if (leaving)
            return "the instance is leaving";
        if (superseded)
            return "a later start fills this seat";
        if (!in_force)
            return "no bundle is in force";
        if (!waiting_for.empty())
            return waiting_for;
        return configuration == nullptr
                   ? std::string{}
                   : configuration->waiting_for(loop.now());
    }
};

} // namespace peridotward
