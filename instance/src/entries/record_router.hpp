#pragma once

#include "upstreams/upstream_executor.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace peridotward {

/// A fetch of one record or an append of one entry, to be executed by the owner
/// of its upstream.
struct record_operation
{
    record_action action = record_action::fetch;
    bundle_ptr in_force;
    upstream_index upstream; ///< An index of `in_force`.
    caller_priority priority = caller_priority::normal;
    std::string request_id; ///< Sent to the upstream.
    std::string text;       ///< Key of a fetch, or JSON of an entry.
    time_point deadline;
};

/// Sends operations on single records to the owners of their upstreams. None is
/// sent twice.
class record_router
{
public:
    using completion = std::function<void(execution_result)>;

    record_router(fleet_runner& fleet, upstream_executor& executor);

    /// Starts an operation. `done` is called exactly once, possibly before
    /// `submit` returns.
    void submit(record_operation operation, completion done);

private:
    struct pending_record
    {
        std::string owner;
        delivery_ticket ticket = 0;
        completion done;
    };

    void execute_locally(
        record_operation&& operation, resource_id upstream, completion&& done);
    void send_to(
        const std::string& owner,
        record_operation&& operation,
        resource_id upstream,
        completion&& done);
    void on_reply(const peer_process& from, record_reply reply);
    void on_unsent(delivery_ticket ticket);
    void on_connection_lost(const std::string& instance_id);
    void complete(std::uint64_t id, execution_result result);
    void complete_unanswered(std::uint64_t id, attempt_outcome outcome);

    fleet_runner* fleet_;
    upstream_executor* executor_;
    event_loop* loop_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<std::uint64_t, pending_record> pending_;
};

} // namespace peridotward
