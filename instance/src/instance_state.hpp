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

/// State that the components of one instance share. Must be used on the loop's
/// thread only.
struct instance_state
{
    instance_state(settings loaded, const clock& time, std::uint64_t seed)
        : configured{std::move(loaded)},
          loop{time},
          random{seed},
          process_name{configured.instance.id + "." + std::to_string(seed)},
          finished_queries{configured.limits.recent_queries}
    {}

    settings configured;
    event_loop loop;
    metrics_registry metrics;
    random_source random;
    std::string process_name; ///< Instance id and seed; differs at each start.
    const config_store* configuration = nullptr; ///< Null in unit tests.
    bundle_ptr in_force;   ///< Null until a bundle is accepted.
    wall_time accepted_at; ///< When `in_force` came into force.
    instance_list published_list;
    snapshot_tracker snapshots;
    replica_stats replicas;
    hedge_budget extra_attempts; ///< For hedges and retries.
    std::unordered_set<std::string> running_request_ids; ///< Set by callers.
    recent_queries finished_queries;
    std::string startup_wait_reason; ///< Empty once the startup is over.
    bool leaving = false;
    bool superseded = false; ///< A newer process of this instance runs.

    /// Puts `accepted` in force. Statistics and snapshots of upstreams that it
    /// still contains are kept.
    void apply_bundle(bundle_ptr accepted)
    {
        snapshots.rebase(in_force.get(), *accepted);
        replicas.rebase(in_force.get(), *accepted);
        in_force = std::move(accepted);
    }

    /// \returns An empty text when the instance can serve, else the reason why
    /// not.
    [[nodiscard]] std::string not_ready_reason() const
    {
        if (leaving)
            return "the instance is leaving";
        if (superseded)
            return "a later start fills this seat";
        if (!in_force)
            return "no bundle is in force";
        if (!startup_wait_reason.empty())
            return startup_wait_reason;
        return configuration == nullptr
                   ? std::string{}
                   : configuration->waiting_for(loop.now());
    }
};

} // namespace peridotward
