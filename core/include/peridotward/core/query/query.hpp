#pragma once

#include <peridotward/core/query/query_actions.hpp>
#include <peridotward/core/query/query_plan.hpp>
#include <peridotward/core/query/query_policy.hpp>
#include <peridotward/core/query/wakeup_queue.hpp>

#include <array>
#include <optional>
#include <span>
#include <vector>

namespace peridotward {

/// \brief Parameters of a query.
struct query_start
{
    query_id id{};
    bundle_ptr in_force; ///< The bundle that the query is planned with.
    search_index search;
    snapshot_id snapshot = 0; ///< The snapshot that all parts are read from.
    time_point deadline;
    /// Coverage, in [0, 1], at which a search that prefers latency ends.
    double coverage_target = 1.0;
};

/// \brief State machine of one execution of a search: tracks the merged key
/// ranges and the attempts in flight, and decides when to hedge or retry.
///
/// \remarks Performs no I/O. The owner must check answers before it reports
/// them as `answered` (see `check_answer`), and must report the end of every
/// attempt in `query_actions::send` exactly once. The owner passes in all
/// times.
class query
{
public:
    /// \brief Maximum attempts of one part that may reach upstreams.
    static constexpr std::uint32_t max_tries = 4;
    /// Divides the time limit of a query into the time after which it is
    /// `overdue`.
    static constexpr int overdue_divisor = 4;
    /// \brief Maximum redirects of one part. A redirect is an attempt that
    /// ended without being sent, or one that could not be started because no
    /// upstream was available.
    static constexpr std::uint32_t max_redirects = 12;
    /// \brief Redirects of one part that are retried without backoff.
    static constexpr std::uint32_t immediate_redirects = 2;
    /// \brief Maximum restarts of a query on a newer snapshot.
    static constexpr std::uint32_t max_replans = 2;

    explicit query(query_start start);

    /// \brief Starts the first attempt of each part.
    template<class Replica, class Hedge>
    void
    begin(query_policy<Replica, Hedge> policy, time_point now, query_actions&);

    /// \brief Handles the end of an attempt.
    ///
    /// \returns Whether the records of the attempt belong in the answer.
    template<class Replica, class Hedge>
    bool on_result(
        const attempt_result& ended,
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);

    /// \brief Starts the hedges and retries that are due at `now`, and ends the
    /// query at its deadline.
    template<class Replica, class Hedge>
    void on_timeout(
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);

    /// \brief Ends the query at once, for example because its caller
    /// disconnected.
    void abandon(query_actions& out);

    /// \brief Discards all merged parts and restarts the query on `snapshot`.
    ///
    /// \returns False, without any change, unless `snapshot` is newer than the
    /// pinned one, enough time remains before the deadline, `max_replans` is
    /// not reached and there is no overload.
    template<class Replica, class Hedge>
    bool replan(
        snapshot_id snapshot,
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);

    /// \returns When `on_timeout` must be called next; never later than the
    /// deadline.
    [[nodiscard]] time_point next_wakeup() noexcept;

    [[nodiscard]] const query_start& start() const noexcept { return start_; }
    [[nodiscard]] const query_plan& plan() const noexcept { return plan_; }
    [[nodiscard]] bool finished() const noexcept { return finished_; }

    /// \returns The number of attempts started so far.
    [[nodiscard]] std::uint32_t attempts() const noexcept
    {
        return static_cast<std::uint32_t>(attempts_.size());
    }

    /// \returns The number of attempts without a result.
    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return in_flight_;
    }

    /// \returns The number of hedges and retries started so far, without those
    /// that were not sent.
    [[nodiscard]] std::uint32_t extra_attempts() const noexcept
    {
        return extra_attempts_;
    }

    /// \returns The fraction, in [0, 1], of parts that found no free slot or
    /// were shed.
    [[nodiscard]] double stalled_share() const noexcept
    {
        return parts_.empty() ? 0.0
                              : static_cast<double>(stalled_parts_) /
                                    static_cast<double>(parts_.size());
    }

    /// \returns The number of restarts on a newer snapshot.
    [[nodiscard]] std::uint32_t replans() const noexcept { return replans_; }

    /// \returns Whether any byte may have reached an upstream.
    [[nodiscard]] bool anything_sent() const noexcept { return anything_sent_; }

    /// \returns The fraction, in [0, 1], of the keys of the search that are
    /// merged.
    [[nodiscard]] double coverage() const noexcept;

    /// \returns The missing ranges, sorted by key.
    [[nodiscard]] std::vector<missing_range> missing() const;

private:
    enum class attempt_kind : std::uint8_t
    {
        first, ///< No attempt of the part was sent before.
        retry,
        hedge,
    };

    struct part_state
    {
        bool merged = false;
        bool given_up = false;
        bool stalled = false; ///< Found no free slot, or was shed.
        /// The hedge budget has counted the first attempt that was sent.
        bool first_sent_counted = false;
        attempt_outcome last_outcome = attempt_outcome::not_sent;
        std::uint8_t in_flight = 0;   ///< Used elements of `open`.
        std::uint8_t tries = 0;       ///< Attempts that may reach upstreams.
        std::uint8_t redirects = 0;   ///< See `max_redirects`.
        std::uint8_t tried_count = 0; ///< Used elements of `tried`.
        /// Serial number of the only wakeup that is not stale.
        std::uint32_t wakeup_serial = 0;
        std::array<std::uint16_t, max_tries> open{}; ///< Attempt numbers.
        std::array<upstream_index, max_tries + max_redirects> tried;
    };

    struct sent_attempt
    {
        std::uint32_t part = 0;
        upstream_index upstream;
        bool open = false;  ///< No result was reported yet.
        bool extra = false; ///< A hedge or a retry.
        bool hedge = false;
    };

    template<class Replica, class Hedge>
    void start_attempt(
        std::uint32_t part,
        attempt_kind kind,
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);
    template<class Replica, class Hedge>
    void schedule_retry(
        std::uint32_t part,
        query_policy<Replica, Hedge> policy,
        time_point now);
    template<class Replica, class Hedge>
    void schedule_hedge(
        std::uint32_t part, query_policy<Replica, Hedge>, time_point);

    void plan_parts();
    [[nodiscard]] attempt_id id_of(std::uint64_t number) const noexcept;
    [[nodiscard]] std::uint64_t number_of(attempt_id id) const noexcept;
    [[nodiscard]] bool settled(const part_state& part) const noexcept
    {
        return part.merged || part.given_up;
    }
    [[nodiscard]] static attempt_kind next_kind(const part_state& part) noexcept
    {
        if (part.in_flight > 0)
            return attempt_kind::hedge;
        return part.tries > 0 ? attempt_kind::retry : attempt_kind::first;
    }
    void record_end(
        std::uint64_t number,
        const attempt_result& ended,
        hedge_budget& budget) noexcept;
    void merge(std::uint32_t part, query_actions& out);
    void mark_stalled(part_state& part) noexcept;
    void give_up(std::uint32_t part) noexcept;
    void send(
        std::uint32_t part,
        attempt_kind kind,
        upstream_index chosen,
        query_actions& out);
    void schedule_wakeup(std::uint32_t part, time_point due);
    [[nodiscard]] duration
    backoff(const part_state& part, random_source& random) const;
    void reset_tried(part_state& part) noexcept;
    void cancel_open(std::uint32_t part, query_actions& out);
    static void drop_unsent(query_actions& out);
    /// \returns Whether so much of the time limit has passed that a part
    /// without an answer counts as failed.
    [[nodiscard]] bool overdue(time_point now) const noexcept
    {
        return (now - begin_time_) * overdue_divisor >=
               start_.deadline - begin_time_;
    }
    void finish_if_settled(query_actions& out);
    void finish_at_deadline(query_actions& out);
    void finish(query_actions& out);

    query_start start_;
    query_plan plan_;
    std::vector<part_state> parts_;
    std::vector<sent_attempt> attempts_; ///< Attempt `n` is at index `n - 1`.
    wakeup_queue wakeups_;
    std::uint64_t merged_keys_ = 0;
    std::uint32_t open_parts_ = 0; ///< Parts neither merged nor given up.
    std::uint32_t in_flight_ = 0;
    std::uint32_t extra_attempts_ = 0;
    std::uint32_t replans_ = 0;
    std::uint32_t stalled_parts_ = 0;
    bool anything_sent_ = false;
    time_point begin_time_;
    bool finished_ = false;
};

} // namespace peridotward

#include <peridotward/core/query/query_impl.hpp>
