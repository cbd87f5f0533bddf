#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/placement/speed_estimate.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace peridotward {

/// \brief Load of a replica as reported with an answer.
struct reported_load
{
    /// Limits of `speed`. Speeds of replicas in use lie between 80 and 325; an
    /// incorrect value must not exceed the effect of a real slowdown by far.
    static constexpr std::uint32_t min_speed = 25;
    static constexpr std::uint32_t max_speed = 1000;

    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Current duration of work in percent of the usual one, in [`min_speed`,
    /// `max_speed`]; zero if not reported.
    std::uint32_t speed = 0;

    /// \returns The load without one of the requests that run.
    [[nodiscard]] reported_load after_one() const noexcept
    {
        const auto left = running + waiting - std::min(running, 1U);
        const auto still_running = std::min(left, std::max(slots, 1U));
        return {still_running, left - still_running, slots, speed};
    }
};

/// \brief One instance's observations of one replica.
///
/// \remarks Slowness is relative to the typical latency of the same kind of
/// request, so that observations of short and long requests are comparable.
class replica_health
{
public:
    /// Maximum age of a reported load that counts as current.
    static constexpr milliseconds fresh_load{50};
    /// Maximum age of a reported load that `crowded` uses; a full replica sends
    /// several answers in this time.
    static constexpr milliseconds recent_load{250};

    /// \brief Records that a request was sent.
    void on_sent(time_point now) noexcept;

    /// \brief Records a successful answer.
    /// \param latency Time from sending to the answer.
    /// \param typical_latency Typical latency of this kind of request; zero if
    /// unknown.
    void on_answered(
        duration latency, duration typical_latency, time_point now) noexcept;

    /// \brief Records a failure of the replica.
    void on_failed(time_point now) noexcept;

    /// \brief Records that the replica refused a request because it is
    /// overloaded.
    void on_shed(time_point now) noexcept;

    /// \brief Records that no connection could be made.
    void on_unreachable(time_point now) noexcept;

    /// \brief Records an attempt that ended without an observation of the
    /// replica, for example because the caller cancelled it.
    void on_cancelled() noexcept;

    /// \brief Records that a hedge to another replica answered first.
    /// \param elapsed Time since the attempt was sent.
    /// \param typical_latency Typical latency of this kind of request; zero if
    /// unknown.
    void on_hedge_won(
        duration elapsed, duration typical_latency, time_point now) noexcept;

    void on_load(reported_load load, time_point now) noexcept;

    /// \returns The load reported since the last call, if any.
    [[nodiscard]] std::optional<reported_load> take_load_report() noexcept
    {
        return std::exchange(new_report_, std::nullopt);
    }

    /// \returns The expected latency of the next request without queueing, as a
    /// multiple of the typical latency.
    [[nodiscard]] double slowness(time_point now) const noexcept;

    /// \returns The slowness to select replicas by: at least about `slowness`,
    /// and more for a replica in a slow moment or with an old report, since an
    /// answer of many parts is as late as its latest part. Equals `slowness`
    /// for a replica that reports no speed.
    [[nodiscard]] double selection_slowness(time_point now) const noexcept;

    /// \returns What the replica reported on its speed.
    [[nodiscard]] const speed_estimate& speed() const noexcept
    {
        return speed_;
    }

    /// \returns Share of requests that fail, in [0, 1].
    [[nodiscard]] double failure_share(time_point now) const noexcept;

    /// \returns Share of requests that are refused, in [0, 1].
    [[nodiscard]] double shed_share(time_point now) const noexcept;

    /// \returns Requests of this instance in flight.
    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return in_flight_;
    }

    /// \returns Requests of other instances at the replica, according to its
    /// latest report; decays with the age of the report.
    [[nodiscard]] double load_of_other_instances(time_point now) const noexcept;

    /// \returns Whether the replica recently reported more requests than
    /// `threshold`.
    [[nodiscard]] bool
    crowded(std::uint32_t threshold, time_point now) const noexcept
    {
        return now - load_reported_at_ < recent_load &&
               reported_requests_ > threshold;
    }

    /// \returns Whether a request would probably find a free slot.
    [[nodiscard]] bool
    has_free_slot(std::uint32_t slots, time_point now) const noexcept
    {
        return in_flight_ + load_of_other_instances(now) < slots;
    }

    /// \returns Whether a current report of the replica implies a free slot.
    [[nodiscard]] bool
    reported_free_slot(std::uint32_t slots, time_point now) const noexcept
    {
        return now - load_reported_at_ < fresh_load &&
               has_free_slot(slots, now);
    }

    /// \returns Whether connections fail and the next attempt to connect is not
    /// yet due.
    [[nodiscard]] bool unreachable(time_point now) const noexcept
    {
        return now < reconnect_at_;
    }

    /// \returns When the next attempt to connect is due.
    [[nodiscard]] time_point reconnect_at() const noexcept
    {
        return reconnect_at_;
    }

    /// \brief Records that the replica wants no request until `until`; an
    /// earlier request for a longer pause stays in force.
    void pause_until(time_point until) noexcept
    {
        paused_until_ = std::max(paused_until_, until);
    }

    /// \returns Whether the replica wants no requests now.
    [[nodiscard]] bool paused(time_point now) const noexcept
    {
        return now < paused_until_;
    }

    /// \returns When the replica takes requests again.
    [[nodiscard]] time_point paused_until() const noexcept
    {
        return paused_until_;
    }

    /// \returns Since when requests are in flight without any answer, or the
    /// default time point.
    [[nodiscard]] time_point silent_since() const noexcept
    {
        return silent_since_;
    }

private:
    void end_request() noexcept;
    /// \returns The slowness apart from momentary changes that the replica
    /// reports.
    [[nodiscard]] double measured_slowness(time_point now) const noexcept;

    double slowness_ = 1;
    /// Long-term slowness, to which `slowness_` returns without answers; 1 for
    /// a replica that reports no speed.
    double usual_slowness_ = 1;
    speed_estimate speed_;
    time_point slowness_at_;
    double failure_share_ = 0;
    double shed_share_ = 0;
    time_point outcomes_at_;
    std::uint32_t in_flight_ = 0;
    double load_of_other_instances_ = 0;
    time_point load_reported_at_;
    std::uint32_t reported_requests_ = 0; ///< Running and waiting.
    std::optional<reported_load> new_report_;
    std::uint32_t connect_failures_ = 0;
    time_point reconnect_at_;
    time_point paused_until_;
    time_point silent_since_;
};

} // namespace peridotward
