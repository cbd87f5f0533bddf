#pragma once

#include "entries/entry_admission.hpp"
#include "fleet/fleet_runner.hpp"
#include "owners/slot_queue.hpp"
#include "upstreams/upstream_client.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace peridotward {

/// One request to an upstream that this instance may hold.
struct execution_request
{
    enum class action : std::uint8_t
    {
        search,
        fetch,
        append,
    };

    action what = action::search;
    std::string name; ///< Under which the upstream knows the request.
    resource_id upstream{};
    caller_priority priority = caller_priority::normal;
    bool hedge = false;
    time_point deadline;
    key_range range;          ///< Of a search.
    snapshot_id snapshot = 0; ///< Of a search.
    std::string text; ///< Criteria of a search, key, or JSON of an entry.
};

/// The end of an owned request.
struct execution_result
{
    shard_response response;
    bool not_owner = false; ///< Another instance may hold the upstream.
    bool duplicate = false; ///< Not run: the entry's id was seen before.
    bool expired = false;   ///< Not run: the entry's id cannot be known.
    std::uint32_t free_slots = 0;
};

/// Runs requests on the upstreams that this instance holds: within their
/// budgets, and each over before the lease is.
class upstream_executor
{
public:
    using completion = std::function<void(execution_result)>;

    upstream_executor(fleet_runner& fleet, upstream_client& gateway);

    /// Starts a request; `done` is called exactly once, perhaps at once.
    execution_id start(execution_request request, completion done);

    /// Ends a request early; its completion is called with what came of it.
    void cancel(execution_id id);

    /// Sets who decides on entries; without one, all run.
    void use_gate(entry_admission& gate) noexcept { gate_ = &gate; }

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return queue_.waiting();
    }

private:
    struct running
    {
        execution_request request;
        completion done;
        endpoint address;
        budget_grant granted;
        time_point end; ///< The upstream must be done by then.
        bool sent = false;
        bool admitted = false; ///< By the gate.
    };

    void run(execution_id id, const budget_grant& granted);
    [[nodiscard]] bool pass_gate(execution_id id);
    void
    submit(execution_id id, const bundle& in_force, upstream_index upstream);
    [[nodiscard]] std::function<bool()>
    send_check(resource_id upstream, time_point end) const;
    void on_response(execution_id id, shard_response response);
    void release(
        const budget_grant& granted,
        const shard_response& response,
        time_point end);
    void end_grant(const budget_grant& granted, const shard_response& response);
    void finish(execution_id id, execution_result result);

    fleet_runner* fleet_;
    upstream_client* gateway_;
    event_loop* loop_;
    entry_admission* gate_ = nullptr;
    slot_queue queue_;
    std::uint64_t last_work_ = 0;
    std::unordered_map<std::uint64_t, running> running_;
};

} // namespace peridotward
