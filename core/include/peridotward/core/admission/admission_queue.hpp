#pragma once

#include <peridotward/core/admission/admission_types.hpp>
#include <peridotward/core/admission/concurrency_limit.hpp>
#include <peridotward/core/placement/latency_sketch.hpp>

#include <array>
#include <vector>

namespace peridotward {

/// \brief Admission queue of one search; starts as many queries at once as the
/// concurrency limit allows.
///
/// \remarks Higher priorities start first and, within a priority, earlier
/// deadlines. To prevent starvation, a waiting priority class is bypassed at
/// most `max_bypasses` times. A query that would still be waiting at its
/// deadline is refused immediately, on arrival or later.
class admission_queue
{
public:
    /// \param max_waiting Maximum number of queued queries.
    explicit admission_queue(std::uint32_t max_waiting) noexcept
        : max_waiting_{max_waiting}
    {}

    void max_waiting(std::uint32_t count) noexcept { max_waiting_ = count; }

    /// \brief Starts, queues or refuses a query.
    void arrive(
        const admission_request& request,
        time_point now,
        admission_actions& out);

    /// \brief Records the end of a running query and starts queued ones.
    ///
    /// \param started When the query was started.
    /// \param stalled_share Share of its parts, 0 to 1, without a free
    /// slot.
    void on_finished(
        time_point started,
        double stalled_share,
        time_point now,
        admission_actions& out);

    /// \brief Removes a queued query whose caller disconnected.
    ///
    /// \returns Whether the query was queued.
    bool withdraw(std::uint64_t id) noexcept;

    /// \brief Refuses the queued queries that can no longer meet their
    /// deadline.
    void on_timeout(time_point now, admission_actions& out);

    /// \returns The time at which `on_timeout` must be called next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    [[nodiscard]] std::uint32_t waiting() const noexcept;
    [[nodiscard]] std::uint32_t allowed() const noexcept
    {
        return limit_.allowed();
    }

    /// \returns When a refused caller may retry, estimated from the rate at
    /// which the queue drains.
    [[nodiscard]] duration retry_after() const noexcept;

private:
    static constexpr std::size_t class_count =
        name_table<caller_priority>::entries.size();
    /// By class: starts of other classes after which a waiting class is served.
    static constexpr std::array<std::uint32_t, class_count> max_bypasses{
        0, 4, 16};

    struct waiting_class
    {
        std::vector<admission_request> queue; ///< Latest deadline first.
        std::uint32_t bypassed = 0;
    };

    [[nodiscard]] duration estimated_wait(std::uint32_t ahead) const noexcept;
    [[nodiscard]] bool can_meet_deadline(
        const admission_request& request, time_point start) const noexcept;
    [[nodiscard]] std::uint32_t
    queued_ahead_of(const admission_request& request) const noexcept;
    bool evict_lower_priority(caller_priority arriving, admission_actions& out);
    void insert(const admission_request& request);
    void start_next(time_point now, admission_actions& out);
    [[nodiscard]] waiting_class* next_class() noexcept;
    void refuse(
        const admission_request& request,
        error_kind reason,
        admission_actions& out) const;

    std::uint32_t max_waiting_;
    std::uint32_t running_ = 0;
    concurrency_limit limit_;
    latency_sketch latencies_;
    duration mean_latency_{};
    std::array<waiting_class, class_count> classes_;
};

} // namespace peridotward
