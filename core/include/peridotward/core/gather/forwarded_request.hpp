#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/core/budgets/retry_ledger.hpp>
#include <peridotward/core/gather/latency_profile.hpp>
#include <peridotward/core/gather/request_deadlines.hpp>
#include <peridotward/core/placement/replica_choice.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace peridotward {

/// \brief How one attempt at a replica ended.
enum class forward_outcome : std::uint8_t
{
    answered,    ///< A whole success.
    failed,      ///< The replica ran it and answered with a failure.
    refused,     ///< The replica says that it did not run it.
    misdirected, ///< Another upstream has the address; nothing ran.
    broken,      ///< Sent, and the connection gave no whole answer.
    unreachable, ///< No connection; nothing was sent.
    unsent,      ///< No connection was free here; nothing was sent.
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
            forward_outcome::unreachable, std::string_view{"unreachable"}},
        std::pair{forward_outcome::unsent, std::string_view{"unsent"}},
    };
};

/// \brief How a forwarded request ended.
enum class forward_end : std::uint8_t
{
    complete,  ///< All parts are in.
    partial,   ///< Enough parts are in; the others are left out.
    not_run,   ///< No replica ran any part, and none will.
    failed,    ///< Too many parts failed.
    timed_out, ///< The time was over before enough parts were in.
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

/// \brief An attempt to send now.
struct forward_send
{
    std::uint32_t attempt = 0; ///< Position among the request's attempts.
    std::uint32_t part = 0;
    replica_number to = 0;
    bool extra = false;
};

/// \brief What the request wants done.
struct forward_actions
{
    std::vector<forward_send> sends;
    std::optional<forward_end> end;

    void clear()
    {
        sends.clear();
        end.reset();
    }
};

/// \brief What all requests of an instance decide by.
struct forward_context
{
    upstream_catalog* catalog = nullptr;
    replica_choice* selector = nullptr;
    retry_ledger* budgets = nullptr;
    const fleet_view* fleet = nullptr;
};

/// \brief The state of one forwarded request: a part for each shard, or one
/// part for a plain route.
///
/// \remarks Sans-IO. Every attempt that was sent is reported once, also after
/// the end; a late report then only feeds what is known of the replica.
class forwarded_request
{
public:
    /// An answer that is late anyway waits for its missing parts for this part
    /// of the time that it had; then what is there goes.
    static constexpr int late_wait_divisor = 2;
    /// Refusals of one part after which it is given up.
    static constexpr std::uint32_t max_refusals = 5;

    /// \param config Pinned for the life of the request.
    /// \param services One service for each part.
    forwarded_request(
        forward_config_ptr config,
        const forward_route& route,
        std::vector<forward_service_index> services,
        forward_times times);

    void begin(
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);

    /// \brief Takes the end of an attempt.
    /// \returns Whether its answer is part of the result.
    bool on_result(
        std::uint32_t attempt,
        forward_outcome outcome,
        const forward_context& context,
        latency_profile& profile,
        time_point now,
        forward_actions& out);

    void on_timeout(
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);

    /// \brief Ends the request since its caller has left.
    void abandon() noexcept { ended_ = true; }

    /// \returns When `on_timeout` has work next.
    [[nodiscard]] time_point next_wakeup() const noexcept;

    [[nodiscard]] bool ended() const noexcept { return ended_; }
    [[nodiscard]] const forward_route& route() const noexcept
    {
        return *route_;
    }
    [[nodiscard]] const forward_config_ptr& config() const noexcept
    {
        return config_;
    }
    /// \returns The service that answers a part.
    [[nodiscard]] const forward_service& service(std::uint32_t part) const
    {
        return config_->services[parts_[part].service];
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

    /// \returns When the request has its next chance, after it was refused: as
    /// soon as enough of the lost parts have theirs.
    [[nodiscard]] time_point
    next_chance(const forward_context& context, time_point now) const;

    /// \returns Whether a replica may have run any of it.
    [[nodiscard]] bool may_have_run() const noexcept { return may_have_run_; }

    /// \returns Whether the attempt still waits for its answer.
    [[nodiscard]] bool open(std::uint32_t attempt) const noexcept
    {
        return attempts_[attempt].open;
    }
    /// \returns Whether the part of the attempt is in.
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
        time_point sent;
        bool extra = false; ///< Counted as a repeat.
        bool open = true;
    };
    struct part_state
    {
        forward_service_index service = 0;
        bool answered = false;
        bool given_up = false;
        std::uint8_t open = 0;     ///< Attempts without a result.
        std::uint8_t ran = 0;      ///< Attempts that a replica may have run.
        std::uint8_t arrivals = 0; ///< Attempts that may have arrived.
        std::uint8_t refusals = 0; ///< Attempts that surely did not run.
        time_point hedge_at = time_point::max();
        std::vector<replica_number> tried;
        std::vector<replica_number>
            refused; ///< Of `tried`; may be asked again.
    };

    /// Parts that an answer can do without.
    [[nodiscard]] std::uint32_t spare_parts() const noexcept;
    [[nodiscard]] bool enough() const noexcept;
    [[nodiscard]] bool hopeless() const noexcept;
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
    void hedge(
        std::uint32_t part,
        const forward_context& context,
        const latency_profile& profile,
        time_point now,
        forward_actions& out);
    void give_up(std::uint32_t part) noexcept;
    [[nodiscard]] bool due_partial(time_point now) const noexcept;
    [[nodiscard]] time_point late_until() const noexcept;
    void settle(time_point now, forward_actions& out);
    void finish(forward_end end, forward_actions& out);
    [[nodiscard]] forward_end failure() const noexcept;

    forward_config_ptr config_;
    const forward_route* route_;
    forward_times times_;
    std::vector<part_state> parts_;
    std::vector<attempt_state> attempts_;
    std::uint32_t answered_ = 0;
    std::uint32_t given_up_ = 0;
    std::uint32_t extra_attempts_ = 0;
    bool may_have_run_ = false;
    bool worth_passed_ = false; ///< Too few parts were in when it ended.
    bool late_passed_ = false;
    bool ended_ = false;
};

} // namespace peridotward
