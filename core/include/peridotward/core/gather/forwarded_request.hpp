#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/core/admission/load_shedders.hpp>
#include <peridotward/core/budgets/retry_budgets.hpp>
#include <peridotward/core/gather/caller_answer.hpp>
#include <peridotward/core/gather/latency_profile.hpp>
#include <peridotward/core/gather/request_deadlines.hpp>
#include <peridotward/core/placement/replica_selector.hpp>
#include <peridotward/core/routing/pinned_route.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotward {

/// \brief How one attempt at a replica ended.
enum class forward_outcome : std::uint8_t
{
    answered,    ///< A complete successful answer.
    failed,      ///< The replica ran the attempt and answered with an error.
    refused,     ///< The replica states that it did not run the attempt.
    misdirected, ///< Another upstream has the address; nothing was run.
    broken,      ///< Sent, but no usable answer came in time.
    interrupted, ///< Sent, but the replica's side ended the connection.
    unreachable, ///< The connection could not be opened; nothing was sent.
    /// Nothing was sent: no connection of the pool was free, or the attempt was
    /// withdrawn while it waited for one.
    unsent,
};

template<>
struct name_table<forward_outcome>
{
    static constexpr std::array entries{
        std::pair{forward_outcome::answered, std::string_view{"answered"}},
        std::pair{forward_outcome::failed, std::string_view{"failed"}},
        std::pair{forward_outcome::refused, std::string_view{"refused"}},
        std::pair{
            forward_outcome::misdirected, std::string_view{"misdirected"}},
        std::pair{forward_outcome::broken, std::string_view{"broken"}},
        std::pair{
            forward_outcome::interrupted, std::string_view{"interrupted"}},
        std::pair{
            forward_outcome::unreachable, std::string_view{"unreachable"}},
        std::pair{forward_outcome::unsent, std::string_view{"unsent"}},
    };
};

/// \brief How a forwarded request ended.
enum class forward_end : std::uint8_t
{
    complete,  ///< All parts were answered.
    partial,   ///< Enough parts were answered; the others are left out.
    not_run,   ///< No replica ran any part, and none will.
    failed,    ///< Too many parts failed.
    timed_out, ///< Too few parts were answered before the answer deadline.
};

template<>
struct name_table<forward_end>
{
    static constexpr std::array entries{
        std::pair{forward_end::complete, std::string_view{"complete"}},
        std::pair{forward_end::partial, std::string_view{"partial"}},
        std::pair{forward_end::not_run, std::string_view{"not_run"}},
        std::pair{forward_end::failed, std::string_view{"failed"}},
        std::pair{forward_end::timed_out, std::string_view{"timed_out"}},
    };
};

/// \brief An attempt that must be sent now.
struct forward_send
{
    std::uint32_t attempt = 0; ///< Index among the attempts of the request.
    std::uint32_t part = 0;    ///< Index of the part.
    replica_number to = 0;
    bool extra = false; ///< A hedge or a retry.
};

/// \brief Actions that the owner of a request must carry out.
struct forward_actions
{
    std::vector<forward_send> sends;
    std::optional<forward_end> end; ///< Set when the request has ended.

    void clear()
    {
        sends.clear();
        end.reset();
    }
};

/// \brief Shared state of an instance that all forwarded requests use.
struct forward_context
{
    upstream_catalog* catalog = nullptr;
    replica_selector* selector = nullptr;
    retry_budgets* budgets = nullptr;  ///< For hedges and retries.
    const fleet_view* fleet = nullptr; ///< This instance and its peers.
    load_shedders* shedders = nullptr; ///< Null: all requests are admitted.
};

/// \brief State machine of one forwarded request: one part per shard, or a
/// single part for a route without shards.
///
/// \remarks Sans-IO: the owner sends the attempts and passes in all times. The
/// owner must report the result of every attempt exactly once, also after the
/// end of the request; a result after the end only updates the health of the
/// replica.
class forwarded_request
{
public:
    /// A request with too few parts at its target latency waits for all parts
    /// for at most the target latency divided by this; after that it ends with
    /// a partial answer as soon as it has enough parts.
    static constexpr int late_wait_divisor = 2;
    /// Pause before a part whose retry finds no replica or no budget is tried
    /// again; some answers of a replica, and of the order of the time in which
    /// a request adds to the budget.
    static constexpr milliseconds retry_pause{15};
    /// Refusals of one part after which the part is given up.
    static constexpr std::uint32_t max_refusals = 5;
    /// Replicas that ended their connection while they ran one part, after
    /// which the part is given up: the request may be what ends them.
    static constexpr std::uint32_t max_interruptions = 2;

    /// \param services The service of each part.
    /// \param times Deadlines of the request.
    /// \param account The client account that sent it, one of the route's
    /// configuration, or null.
    forwarded_request(
        pinned_route route,
        std::vector<forward_service_index> services,
        forward_times times,
        client_account_ptr account = nullptr);

    /// \brief Makes the request a trial: one part is sent to one replica,
    /// without a hedge, and the others follow when that replica has survived
    /// it. If it hasn't, the request ends. Called before `begin`.
    void limit_to_trial() noexcept { trial_ = true; }

    /// \brief Replaces the deadlines, by earlier ones, while the request runs.
    void limit_times(const forward_times& times) noexcept { times_ = times; }

    /// \brief Starts the first attempt of each part, or of one in a trial. The
    /// request ends with `not_run` when too few parts have an available
    /// replica, or when the upstreams are overloaded.
    void begin(
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);

    /// \brief Records that bytes of an attempt are about to leave this
    /// instance; from then on the replica may run it.
    void on_written(std::uint32_t attempt) noexcept
    {
        attempts_[attempt].execution = attempt_execution::may_still_run;
    }

    /// \brief Handles the result of an attempt.
    ///
    /// \returns Whether the answer of the attempt belongs in the result.
    bool on_result(
        std::uint32_t attempt,
        forward_outcome outcome,
        const forward_context& context,
        latency_profile& profile,
        time_point now,
        forward_actions& out);

    /// \brief Starts due hedges and ends the request if it is due.
    void on_timeout(
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);

    /// \brief Ends the request because its caller disconnected.
    void abandon() noexcept { ended_ = true; }

    /// \returns When to call `on_timeout` next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    [[nodiscard]] bool ended() const noexcept { return ended_; }
    [[nodiscard]] const pinned_route& route() const noexcept { return route_; }
    [[nodiscard]] const forward_config_ptr& config() const noexcept
    {
        return route_.config();
    }
    /// \returns The client account that sent the request, or null.
    [[nodiscard]] const client_account_ptr& account() const noexcept
    {
        return account_;
    }
    /// \returns The priority of the account, if it has one, or else of the
    /// route.
    [[nodiscard]] std::int32_t priority() const noexcept
    {
        return account_ != nullptr && account_->priority ? *account_->priority
                                                         : route_->priority;
    }
    /// \returns The service of a part.
    [[nodiscard]] const forward_service& service(std::uint32_t part) const
    {
        return config()->services[parts_[part].service];
    }
    [[nodiscard]] const forward_times& times() const noexcept { return times_; }
    [[nodiscard]] std::uint32_t part_count() const noexcept
    {
        return static_cast<std::uint32_t>(parts_.size());
    }
    [[nodiscard]] std::uint32_t answered_parts() const noexcept
    {
        return answered_;
    }
    [[nodiscard]] std::uint32_t attempts() const noexcept
    {
        return static_cast<std::uint32_t>(attempts_.size());
    }
    [[nodiscard]] std::uint32_t extra_attempts() const noexcept
    {
        return extra_attempts_;
    }

    /// \returns The earliest time at which a retry of the whole request can
    /// succeed after it ended with `not_run`: when enough of the parts that
    /// were given up can reach a replica again.
    [[nodiscard]] time_point
    earliest_retry(const forward_context& context, time_point now) const;

    /// \returns The replicas that could not be used for the parts that were
    /// given up.
    [[nodiscard]] unusable_replicas
    count_unusable(const forward_context& context, time_point now) const;

    /// \returns Whether each part at which a replica ended its connection was
    /// answered by another one.
    [[nodiscard]] bool survived() const noexcept;

    /// \returns Whether the request was refused because the upstreams are
    /// overloaded.
    [[nodiscard]] bool shed() const noexcept { return shed_; }

    /// \returns Whether bytes of an attempt have left this instance.
    [[nodiscard]] bool sent() const noexcept
    {
        return std::any_of(
            attempts_.begin(), attempts_.end(), [](const auto& each) {
                return each.execution != attempt_execution::not_sent;
            });
    }

    /// \returns What is known of the attempt of which the least is excluded.
    [[nodiscard]] attempt_execution execution() const noexcept;

    /// \returns Whether the attempt has no result yet.
    [[nodiscard]] bool open(std::uint32_t attempt) const noexcept
    {
        return attempts_[attempt].open;
    }
    /// \returns Whether the part of the attempt is answered.
    [[nodiscard]] bool part_answered(std::uint32_t attempt) const noexcept
    {
        return parts_[attempts_[attempt].part].answered;
    }
    [[nodiscard]] std::uint32_t part_of(std::uint32_t attempt) const noexcept
    {
        return attempts_[attempt].part;
    }
    [[nodiscard]] replica_number
    replica_of(std::uint32_t attempt) const noexcept
    {
        return attempts_[attempt].to;
    }

private:
    struct attempt_state
    {
        std::uint32_t part = 0;
        replica_number to = 0;
        time_point sent_at;
        bool extra = false; ///< Counted as a hedge or retry.
        bool open = true;
        attempt_execution execution = attempt_execution::not_sent;
    };
    struct part_state
    {
        forward_service_index service = 0;
        bool begun = false; ///< The first attempt was tried.
        bool answered = false;
        bool given_up = false;
        std::uint8_t open = 0;     ///< Attempts without a result.
        std::uint8_t ran = 0;      ///< Attempts that a replica may have run.
        std::uint8_t arrivals = 0; ///< Attempts that may have arrived.
        std::uint8_t refusals = 0; ///< Attempts that did not run.
        std::uint8_t interruptions = 0;
        time_point hedge_at = time_point::max();
        /// When to try a retry again that could not be sent.
        time_point retry_at = time_point::max();
        std::vector<replica_number> tried;
        /// Subset of `tried` that refused and can be tried again.
        std::vector<replica_number> refused;
    };

    /// \returns The number of parts that a partial answer may lack.
    [[nodiscard]] std::uint32_t spare_parts() const noexcept;
    /// \returns Whether enough parts are answered for a partial answer.
    [[nodiscard]] bool has_enough_parts() const noexcept;
    /// \returns Whether too many parts were given up for any answer.
    [[nodiscard]] bool has_failed() const noexcept;
    /// \brief Sends parts that weren't sent before; in a trial only one, and
    /// none while one is open.
    void send_first_attempts(
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);
    /// \brief Ends the trial when its part has a result.
    void update_trial(forward_outcome outcome) noexcept;
    /// \brief Starts an attempt of the part, if a replica and, for a hedge or
    /// retry, the budget allow it.
    bool send(
        std::uint32_t part,
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);
    void retry(
        std::uint32_t part,
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);
    /// \brief Plans another try of a retry that found no replica or no budget,
    /// if its answer could still be in time.
    /// \returns Whether it is planned.
    bool defer_retry(
        std::uint32_t part,
        const forward_context& context,
        const latency_profile& profile,
        time_point now);
    void hedge(
        std::uint32_t part,
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);
    void give_up(std::uint32_t part) noexcept;
    /// \returns Whether to answer with the parts answered so far.
    [[nodiscard]] bool is_partial_due(time_point now) const noexcept;
    /// \returns Until when a late request waits for missing parts.
    [[nodiscard]] time_point late_deadline() const noexcept;
    /// \brief Ends the request if its result is determined.
    void finish_if_due(
        const forward_context& context, time_point now, forward_actions& out);
    /// \brief Ends the request and discards the sends in `out`.
    void finish(
        forward_end end, const forward_context& context, forward_actions& out);
    /// \returns `not_run` if no replica ran or may still run any part; the
    /// owner must then withdraw the open attempts.
    [[nodiscard]] forward_end failure_kind(bool deadline_passed) const noexcept;
    /// \returns The index of the account, or nothing without an account.
    [[nodiscard]] std::optional<account_index>
    account_index_in_config() const noexcept;
    [[nodiscard]] bool try_admit(
        const forward_context& context,
        const latency_profile& profile,
        time_point now);

    pinned_route route_;
    client_account_ptr account_;
    forward_times times_;
    std::vector<part_state> parts_;
    std::vector<attempt_state> attempts_;
    std::uint32_t answered_ = 0;
    std::uint32_t given_up_ = 0;
    std::uint32_t extra_attempts_ = 0;
    bool may_have_run_ = false;
    /// `full_value_until` passed before enough parts were answered, so the
    /// answer misses the target latency.
    bool full_value_passed_ = false;
    bool late_deadline_passed_ = false;
    boost::intrusive_ptr<load_shedder> shedder_;
    bool shed_ = false;
    bool trial_ = false;
    bool ended_ = false;
};

} // namespace peridotward
