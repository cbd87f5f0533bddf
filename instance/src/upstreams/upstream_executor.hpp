#pragma once

#include "entries/entry_admission.hpp"
#include "fleet/fleet_runner.hpp"
#include "owners/slot_queue.hpp"
#include "upstreams/upstream_client.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace peridotward {

/// One request to an upstream whose lease this instance is expected to hold.
struct execution_request
{
    enum class action_kind : std::uint8_t
    {
        search,
        fetch,
        append,
    };

    action_kind action = action_kind::search;
    std::string request_id; ///< Sent to the upstream.
    resource_id upstream{};
    caller_priority priority = caller_priority::normal;
    bool hedge = false;
    time_point deadline;
    key_range range;          ///< For `search` only.
    snapshot_id snapshot = 0; ///< For `search` only.
    /// Criteria of a search, key of a fetch, or JSON of an entry.
    std::string text;
};

/// The result of an `execution_request`.
struct execution_result
{
    shard_response response;
    bool not_owner = false; ///< Not run: another instance may hold the lease.
    bool duplicate = false; ///< Not run: the entry's id was accepted before.
    /// Not run: its id is malformed, or the entry may have run before.
    bool expired = false;
    std::uint32_t free_slots = 0;
};

/// Runs requests on the upstreams whose leases this instance holds, within the
/// upstreams' budgets. Every request ends before the lease expires.
class upstream_executor
{
public:
    using completion = std::function<void(execution_result)>;

    upstream_executor(fleet_runner& fleet, upstream_client& client);

    /// Starts a request. `done` is called exactly once, possibly before `start`
    /// returns.
    execution_id start(execution_request request, completion done);

    /// Cancels a request. Its completion is still called, with the actual
    /// result.
    void cancel(execution_id id);

    /// Sets the check that entries must pass. Without one, all entries run.
    void set_entry_admission(entry_admission& admission) noexcept
    {
        entry_admission_ = &admission;
    }

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return queue_.waiting();
    }

private:
    struct execution
    {
        execution_request request;
        completion done;
        endpoint address;
        budget_grant grant;
        time_point upstream_deadline;
        bool sent = false;
        bool admitted = false; ///< By `entry_admission_`.
    };

    void run(execution_id id, const budget_grant& grant);
    [[nodiscard]] bool admit_entry(execution_id id);
    void send_request(
        execution_id id, const bundle& in_force, upstream_index upstream);
    [[nodiscard]] std::function<bool()>
    send_check(resource_id upstream, time_point upstream_deadline) const;
    void on_response(execution_id id, shard_response response);
    void release_slot(
        const budget_grant& grant,
        const shard_response& response,
        time_point upstream_deadline);
    void
    release_grant(const budget_grant& grant, const shard_response& response);
    void finish(execution_id id, execution_result result);

    fleet_runner* fleet_;
    upstream_client* client_;
    event_loop* loop_;
    entry_admission* entry_admission_ = nullptr;
    slot_queue queue_;
    std::uint64_t last_execution_ = 0;
    std::unordered_map<std::uint64_t, execution> running_;
};

} // namespace peridotward
