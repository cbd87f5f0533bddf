#pragma once

#include "upstreams/upstream_executor.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace peridotward {

/// A request for a single record on its way to the owner of its upstream.
struct record_operation
{
    record_action action = record_action::fetch;
    bundle_ptr in_force;
    upstream_index upstream; ///< Of `in_force`.
    caller_priority priority = caller_priority::normal;
    std::string request_id; ///< Under which the upstream knows it.
    std::string text;       ///< Key of a fetch, JSON of an entry.
    time_point deadline;
};

/// Carries requests for single records to the owners of their upstreams. None
/// is sent twice.
class record_router
{
public:
    using completion = std::function<void(execution_result)>;

    record_router(fleet_runner& fleet, upstream_executor& executor);

    /// Fetches or appends; `done` is called exactly once, perhaps at once.
    void submit(record_operation job, completion done);

private:
    struct carried
    {
        std::string owner;
        delivery_ticket ticket = 0;
        completion done;
    };

    void
    run_here(record_operation&& job, resource_id upstream, completion&& done);
    void send_to(
        const std::string& owner,
        record_operation&& job,
        resource_id upstream,
        completion&& done);
    void on_reply(const peer_process& from, record_reply reply);
    void on_unsent(delivery_ticket ticket);
    void on_lost(const std::string& seat);
    void end(std::uint64_t id, execution_result result);
    void end_unanswered(std::uint64_t id, attempt_outcome outcome);

    fleet_runner* fleet_;
    upstream_executor* executor_;
    event_loop* loop_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<std::uint64_t, carried> pending_;
};

} // namespace peridotward
