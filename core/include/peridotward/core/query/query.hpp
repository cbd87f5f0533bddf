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

/// \brief What a query starts from.
struct query_start
{
    query_id id{};
    bundle_ptr in_force;
    search_index search;
    snapshot_id snapshot = 0;
    time_point deadline;
    double coverage_target = 1.0;
};

/// \brief The state of one query: which ranges are merged, which attempts are
/// on their way, and when to hedge or retry.
///
/// \remarks Does no input or output. Answers must be checked before they are
/// reported as `answered`; see `check_answer`. The end of every attempt sent
/// is reported once. All times come from the caller.
class query
{
public:
    /// \brief Attempts of one part that may reach upstreams.
    static constexpr std::uint32_t max_tries = 4;
    /// Of a query's whole time, the part that passes before `overdue`.
    static constexpr int overdue_divisor = 4;
    /// \brief Attempts of one part that nothing was sent for.
    static constexpr std::uint32_t max_redirects = 12;
    /// \brief Redirects of one part that go out without a pause.
    static constexpr std::uint32_t prompt_redirects = 2;
    /// \brief Times that a query may start anew on a newer snapshot.
    static constexpr std::uint32_t max_replans = 2;

    explicit query(query_start start);

    /// \brief Decides the first attempts.
    template<class Replica, class Hedge>
    void
    begin(query_policy<Replica, Hedge> policy, time_point now, query_actions&);

    /// \brief Takes the end of an attempt.
    ///
    /// \returns Whether its records belong into the answer.
    template<class Replica, class Hedge>
    bool on_result(
        const attempt_result& ended,
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);

    /// \brief Acts on the passing of time.
    template<class Replica, class Hedge>
    void on_timeout(
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);

    /// \brief Ends the query at once, for example when its caller has left.
    void abandon(query_actions& out);

    /// \brief Drops everything merged and starts anew on `snapshot`.
    ///
    /// \returns False, with nothing changed, unless `snapshot` is newer than
    /// the pinned one and the time left suffices.
    template<class Replica, class Hedge>
    bool replan(
        snapshot_id snapshot,
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);

    /// \returns When `on_timeout` must be called next; never after the
    /// deadline.
    [[nodiscard]] time_point next_wakeup() noexcept;

    [[nodiscard]] const query_start& start() const noexcept { return start_; }
    [[nodiscard]] const query_plan& plan() const noexcept { return plan_; }
    [[nodiscard]] bool finished() const noexcept { return finished_; }

    /// \returns The number of attempts decided so far.
    [[nodiscard]] std::uint32_t attempts() const noexcept
    {
        return static_cast<std::uint32_t>(attempts_.size());
    }

    /// \returns The attempts that are on their way.
    [[nodiscard]] std::uint32_t in_flight() const noexcept { return live_; }

    /// \returns The hedges and retries decided so far.
    [[nodiscard]] std::uint32_t extras() const noexcept { return extras_; }

    /// \returns The share of parts that met no free slot, in [0, 1].
    [[nodiscard]] double stalled_share() const noexcept
    {
        return parts_.empty() ? 0.0
                              : static_cast<double>(stalled_) /
                                    static_cast<double>(parts_.size());
    }

    /// \returns How often the query started anew on a newer snapshot.
    [[nodiscard]] std::uint32_t replans() const noexcept { return replans_; }

    /// \returns Whether any byte may have reached an upstream.
    [[nodiscard]] bool anything_sent() const noexcept { return sent_; }

    /// \returns The share of the key space that is merged, in [0, 1].
    [[nodiscard]] double coverage() const noexcept;

    /// \returns The missing ranges in order.
    [[nodiscard]] std::vector<missing_range> missing() const;

private:
    enum class attempt_kind : std::uint8_t
    {
        first, ///< Nothing of the part was sent before.
        retry,
        hedge,
    };

    struct part_state
    {
        bool merged = false;
        bool given_up = false;
        bool stalled = false; ///< Met no free slot, or was shed.
        bool earned = false;  ///< The budget was told of the first request.
        attempt_outcome last = attempt_outcome::not_sent;
        std::uint8_t in_flight = 0; ///< Entries of `live` in use.
        std::uint8_t tries = 0;
        std::uint8_t redirects = 0;
        std::uint8_t tried_count = 0;
        std::uint32_t serial = 0; ///< Of the only wakeup that counts.
        std::array<std::uint16_t, max_tries> live{}; ///< Attempt numbers.
        std::array<upstream_index, max_tries + max_redirects> tried;
    };

    struct sent_attempt
    {
        std::uint32_t part = 0;
        upstream_index upstream;
        bool live = false;
        bool extra = false;
        bool hedge = false;
    };

    template<class Replica, class Hedge>
    void try_part(
        std::uint32_t part,
        attempt_kind kind,
        query_policy<Replica, Hedge> policy,
        time_point now,
        query_actions& out);
    template<class Replica, class Hedge>
    void after_failure(
        std::uint32_t part,
        query_policy<Replica, Hedge> policy,
        time_point now);
    template<class Replica, class Hedge>
    void
    await_hedge(std::uint32_t part, query_policy<Replica, Hedge>, time_point);

    void plan_parts();
    [[nodiscard]] attempt_id id_of(std::uint64_t number) const noexcept;
    [[nodiscard]] std::uint64_t number_of(attempt_id id) const noexcept;
    [[nodiscard]] bool settled(const part_state& part) const noexcept
    {
        return part.merged || part.given_up;
    }
    [[nodiscard]] static attempt_kind kind_of(const part_state& part) noexcept
    {
        if (part.in_flight > 0)
            return attempt_kind::hedge;
        return part.tries > 0 ? attempt_kind::retry : attempt_kind::first;
    }
    void note_end(
        std::uint64_t number,
        const attempt_result& ended,
        hedge_budget& budget) noexcept;
    void merge(std::uint32_t part, query_actions& out);
    void note_stall(part_state& part) noexcept;
    void give_up(std::uint32_t part) noexcept;
    void send(
        std::uint32_t part,
        attempt_kind kind,
        upstream_index chosen,
        query_actions& out);
    void wake_at(std::uint32_t part, time_point due);
    [[nodiscard]] duration
    backoff(const part_state& part, random_source& random) const;
    void forget_tried(part_state& part) noexcept;
    void cancel_live(std::uint32_t part, query_actions& out);
    static void drop_unsent(query_actions& out);
    /// Whether so much of the query's time is gone that a part without an
    /// answer counts as failed.
    [[nodiscard]] bool overdue(time_point now) const noexcept
    {
        return (now - begun_) * overdue_divisor >= start_.deadline - begun_;
    }
    void finish_if_settled(query_actions& out);
    void finish_at_deadline(query_actions& out);
    void finish(query_actions& out);

    query_start start_;
    query_plan plan_;
    std::vector<part_state> parts_;
    std::vector<sent_attempt> attempts_; ///< By the number in the id.
    wakeup_queue due_;
    std::uint64_t merged_keys_ = 0;
    std::uint32_t open_parts_ = 0;
    std::uint32_t live_ = 0;
    std::uint32_t extras_ = 0;
    std::uint32_t replans_ = 0;
    std::uint32_t stalled_ = 0;
    bool sent_ = false;
    time_point begun_;
    bool finished_ = false;
};

} // namespace peridotward

#include <peridotward/core/query/query_impl.hpp>
