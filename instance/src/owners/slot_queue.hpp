#pragma once

#include <peridotward/core/budgets/upstream_budgets.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// Identifies one execution; unique within the process.
enum class execution_id : std::uint64_t
{
};

/// An execution that needs a slot of an upstream.
struct slot_request
{
    resource_id upstream{};
    caller_priority priority = caller_priority::normal;
    bool hedge = false; ///< Refused rather than queued.
    time_point deadline;
    std::function<void(const budget_grant&)> run;
    /// Called instead of `run`; `not_owner` is true when another instance may
    /// hold the lease of the upstream.
    std::function<void(bool not_owner)> refuse;
};

/// Assigns slots of owned upstreams to requests. A request that finds no free
/// slot waits until its deadline; waiting requests are served by priority, then
/// by deadline.
class slot_queue
{
public:
    static constexpr std::size_t max_waiting = 64; ///< Per upstream.

    slot_queue(lease_controller& leases, upstream_budgets& budgets)
        : leases_{&leases}, budgets_{&budgets}
    {}

    /// Runs, refuses or queues `request`. Its handlers may be called before
    /// `submit` returns. When the list of an upstream is full, its last request
    /// is refused.
    void submit(execution_id id, slot_request request, time_point now);

    /// Removes a waiting request without calling its handlers.
    ///
    /// \returns False when no such request waits.
    bool withdraw(execution_id id);

    /// Runs requests that wait for `upstream`, after a slot was freed.
    void on_slot_freed(resource_id upstream, time_point now);

    /// Refuses requests past their deadlines and tries to run the others.
    void on_timeout(time_point now);

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return positions_.size();
    }

private:
    struct wait_key
    {
        caller_priority priority = caller_priority::normal;
        time_point deadline;
        execution_id id{};
        auto operator<=>(const wait_key&) const = default;
    };
    using wait_list = std::map<wait_key, slot_request>;
    struct wait_position
    {
        resource_id upstream{};
        wait_key key;
    };

    enum class try_result : std::uint8_t
    {
        done,
        no_free_slot,
    };

    try_result try_run(const slot_request& request, time_point now);
    void run_waiting(resource_id upstream, time_point now);
    [[nodiscard]] slot_request pop_first(wait_list& waiting);

    lease_controller* leases_;
    upstream_budgets* budgets_;
    std::unordered_map<std::uint64_t, wait_list> wait_lists_; ///< By upstream.
    std::unordered_map<std::uint64_t, wait_position> positions_;
};

} // namespace peridotward
