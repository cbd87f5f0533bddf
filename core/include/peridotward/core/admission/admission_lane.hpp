#pragma once

#include <peridotward/core/admission/admission_types.hpp>
#include <peridotward/core/admission/concurrency_limit.hpp>
#include <peridotward/core/placement/latency_sketch.hpp>

#include <array>
#include <vector>

namespace peridotward {

/// \brief Queue of one search: admits queries as the upstreams bear them.
///
/// \remarks Within a priority the earliest deadline goes first. Higher
/// priorities go first, but a class that waits is served at least once in
/// `passes` starts of the others. A query whose wait would pass its deadline
/// is refused at once, on arrival or later.
class admission_lane
{
public:
    /// \brief `max_waiting` bounds the queries that wait at once.
    explicit admission_lane(std::uint32_t max_waiting) noexcept
        : max_waiting_{max_waiting}
    {}

    void max_waiting(std::uint32_t count) noexcept { max_waiting_ = count; }

    /// \brief Takes a query: it starts, waits or is refused.
    void arrive(
        const admission_request& wanted,
        time_point now,
        admission_actions& out);

    /// \brief Notes the end of a query that had started at `started`;
    /// `stalled` is the share of its parts that met no free slot.
    void on_finished(
        time_point started,
        double stalled,
        time_point now,
        admission_actions& out);

    /// \brief Drops a query whose caller has left.
    ///
    /// \returns Whether it was waiting.
    bool withdraw(std::uint64_t id) noexcept;

    /// \brief Refuses the queries that have become unreachable.
    void on_timeout(time_point now, admission_actions& out);

    /// \returns When `on_timeout` must be called next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
    [[nodiscard]] std::uint32_t waiting() const noexcept;
    [[nodiscard]] std::uint32_t allowed() const noexcept
    {
        return limit_.allowed();
    }

    /// \returns The time after which a refused caller finds room, from the
    /// rate at which the queue drains.
    [[nodiscard]] duration retry_after() const noexcept;

private:
    static constexpr std::size_t class_count =
        name_table<caller_priority>::entries.size();
    /// Starts of others after which a waiting class is served, by class.
    static constexpr std::array<std::uint32_t, class_count> passes{0, 4, 16};

    struct waiting_class
    {
        std::vector<admission_request> queue; ///< The earliest deadline last.
        std::uint32_t passed_over = 0;
    };

    [[nodiscard]] duration wait_of(std::uint32_t ahead) const noexcept;
    [[nodiscard]] bool
    reachable(const admission_request& entry, time_point start) const noexcept;
    [[nodiscard]] std::uint32_t
    ahead_of(const admission_request& wanted) const noexcept;
    bool make_room(caller_priority newcomer, admission_actions& out);
    void insert(const admission_request& wanted);
    void start_next(time_point now, admission_actions& out);
    [[nodiscard]] waiting_class* next_class() noexcept;
    void refuse(
        const admission_request& entry,
        error_kind reason,
        admission_actions& out) const;

    std::uint32_t max_waiting_;
    std::uint32_t running_ = 0;
    concurrency_limit limit_;
    latency_sketch latencies_;
    duration mean_{};
    std::array<waiting_class, class_count> classes_;
};

} // namespace peridotward
