#pragma once

#include <peridotward/core/budgets/upstream_budgets.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// Names work in a `slot_queue`.
enum class execution_id : std::uint64_t
{
};

/// Work that needs a slot of an upstream.
struct slot_request
{
    resource_id upstream{};
    caller_priority priority = caller_priority::normal;
    bool hedge = false; ///< Refused rather than queued.
    time_point deadline;
    std::function<void(const budget_grant&)> run;
    /// Called instead of `run`; true when another instance may hold it.
    std::function<void(bool not_owner)> refuse;
};

/// Gives slots of owned upstreams to work: at once, or after a bounded wait in
/// the order of priority and deadline.
class slot_queue
{
public:
    static constexpr std::size_t max_waiting = 64; ///< For one upstream.

    slot_queue(lease_controller& leases, upstream_budgets& budgets)
        : leases_{&leases}, budgets_{&budgets}
    {}

    /// Runs, refuses or queues `work`; calls back at once or later.
    void submit(execution_id id, slot_request work, time_point now);

    /// Takes waiting work out without a call. False when it does not wait.
    bool withdraw(execution_id id);

    /// Runs what waits for `upstream`, after a slot was freed.
    void on_free(resource_id upstream, time_point now);

    /// Refuses what waited too long, and retries the rest.
    void on_time(time_point now);

    [[nodiscard]] std::size_t waiting() const noexcept { return keys_.size(); }

private:
    struct wait_key
    {
        caller_priority priority = caller_priority::normal;
        time_point deadline;
        execution_id id{};
        auto operator<=>(const wait_key&) const = default;
    };
    using line = std::map<wait_key, slot_request>;
    struct wait_place
    {
        resource_id upstream{};
        wait_key key;
    };

    enum class attempt_end : std::uint8_t
    {
        done,
        must_wait,
    };

    attempt_end try_run(const slot_request& work, time_point now);
    void run_line(resource_id upstream, time_point now);
    [[nodiscard]] slot_request take_first(line& waiting);

    lease_controller* leases_;
    upstream_budgets* budgets_;
    std::unordered_map<std::uint64_t, line> lines_; ///< By upstream.
    std::unordered_map<std::uint64_t, wait_place> keys_;
};

} // namespace peridotward
