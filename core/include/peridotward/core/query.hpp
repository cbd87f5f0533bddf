#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/base/range_set.hpp>
#include <peridotward/core/attempt.hpp>
#include <peridotward/core/query_plan.hpp>

#include <concepts>
#include <optional>
#include <span>
#include <vector>

namespace peridotward {

/// \brief Picks the upstream for an attempt.
template<class Policy>
concept replica_policy = requires(
    Policy& policy,
    std::span<const upstream_index> candidates,
    std::span<const upstream_index> tried,
    time_point now)
{
    {
        policy.choose(candidates, tried, now)
        } -> std::same_as<std::optional<upstream_index>>;
};

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

/// \brief What the owner of a query must do next.
struct query_actions
{
    std::vector<attempt> send;
    std::vector<attempt_id> cancel;
    bool finished = false;

    void clear() noexcept
    {
        send.clear();
        cancel.clear();
        finished = false;
    }
};

/// \brief A range that is missing from an answer, and why.
struct missing_range
{
    key_range range;
    attempt_outcome reason = attempt_outcome::not_sent;
};

/// \brief The state of one query: which ranges are merged and which attempts
/// are on their way.
///
/// \remarks Does no input or output. Answers must be checked before they are
/// reported as `answered`; see `check_answer`.
class query
{
public:
    explicit query(query_start start);

    /// \brief Decides the first attempts.
    template<replica_policy Policy>
    void begin(Policy& policy, time_point now, query_actions& out);

    /// \brief Takes the end of an attempt.
    ///
    /// \returns Whether its records belong into the answer.
    template<replica_policy Policy>
    bool on_result(
        const attempt_result& ended,
        Policy& policy,
        time_point now,
        query_actions& out);

    /// \brief Acts on the passing of time.
    void on_time(time_point now, query_actions& out);

    /// \returns When `on_time` must be called next.
    [[nodiscard]] time_point next_wakeup() const noexcept
    {
        return start_.deadline;
    }

    [[nodiscard]] const query_start& start() const noexcept { return start_; }
    [[nodiscard]] const query_plan& plan() const noexcept { return plan_; }
    [[nodiscard]] bool finished() const noexcept { return finished_; }

    /// \returns The number of attempts decided so far.
    [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

    /// \returns Whether any byte may have reached an upstream.
    [[nodiscard]] bool anything_sent() const noexcept { return sent_; }

    /// \returns The share of the key space that is merged, in [0, 1].
    [[nodiscard]] double coverage() const noexcept;

    /// \returns The missing ranges in order.
    [[nodiscard]] std::vector<missing_range> missing() const;

private:
    static constexpr std::uint32_t max_tries_per_part = 3;

    struct part_state
    {
        bool merged = false;
        attempt_outcome last = attempt_outcome::not_sent;
        std::uint32_t in_flight = 0;
        std::vector<upstream_index> tried;
    };

    struct live_attempt
    {
        attempt_id id;
        std::uint32_t part;
        upstream_index upstream;
    };

    template<replica_policy Policy>
    void try_part(
        std::uint32_t part, Policy& policy, time_point now, query_actions& out);
    [[nodiscard]] std::optional<live_attempt> take_live(attempt_id id);
    void finish_if_settled(query_actions& out);
    void finish(query_actions& out);

    query_start start_;
    query_plan plan_;
    range_set merged_;
    std::vector<part_state> parts_;
    std::vector<live_attempt> live_;
    std::uint32_t attempts_ = 0;
    bool sent_ = false;
    bool finished_ = false;
};

template<replica_policy Policy>
void query::begin(Policy& policy, time_point now, query_actions& out)
{
    for (std::uint32_t part = 0; part < parts_.size(); ++part)
        try_part(part, policy, now, out);
    finish_if_settled(out);
}

template<replica_policy Policy>
bool query::on_result(
    const attempt_result& ended,
    Policy& policy,
    time_point now,
    query_actions& out)
{
    const auto known = take_live(ended.id);
    if (!known || finished_)
        return false;
    sent_ = sent_ || ended.sent;
    auto& part = parts_[known->part];
    --part.in_flight;
    if (part.merged)
        return false;
    part.last = ended.outcome;
    const bool merged = ended.outcome == attempt_outcome::answered &&
                        merged_.add(plan_.parts[known->part].range);
    if (merged)
        part.merged = true;
    else if (part.in_flight == 0)
        try_part(known->part, policy, now, out);
    finish_if_settled(out);
    return merged;
}

template<replica_policy Policy>
void query::try_part(
    std::uint32_t part, Policy& policy, time_point now, query_actions& out)
{
    auto& state = parts_[part];
    if (now >= start_.deadline || state.tried.size() >= max_tries_per_part)
        return;
    const auto& planned = plan_.parts[part];
    const auto& candidates = start_.in_force->at(planned.service).upstreams;
    const auto chosen = policy.choose(candidates, state.tried, now);
    if (!chosen)
        return;
    const auto number = ++attempts_;
    const auto id =
        attempt_id{(static_cast<std::uint64_t>(start_.id) << 16U) | number};
    state.tried.push_back(*chosen);
    ++state.in_flight;
    live_.push_back({id, part, *chosen});
    out.send.push_back(attempt{
        id,
        start_.id,
        part,
        *chosen,
        planned.range,
        start_.snapshot,
        start_.deadline,
        false});
}

} // namespace peridotward
