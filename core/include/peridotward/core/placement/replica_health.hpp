#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>

namespace peridotward {

/// \brief What one answer tells of the load of its replica.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// \brief What this instance has seen of one replica.
///
/// \remarks Slowness is a ratio to the usual time of the same kind of request,
/// so that long and short requests speak of the same thing.
class replica_health
{
public:
    /// Age up to which a told load stands for the present.
    static constexpr milliseconds fresh_load{50};
    /// Age up to which it tells of a crowd: some answers of a full replica.
    static constexpr milliseconds recent_load{250};

    /// \brief Notes that a request was sent.
    void on_sent(time_point now) noexcept;

    /// \brief Notes a good answer.
    /// \param usual The usual time of this kind of request; zero if unknown.
    void on_answered(duration took, duration usual, time_point now) noexcept;

    /// \brief Notes a failure of the replica.
    void on_failed(time_point now) noexcept;

    /// \brief Notes that the replica refused a request as too busy.
    void on_shed(time_point now) noexcept;

    /// \brief Notes that no connection could be made.
    void on_unreachable(time_point now) noexcept;

    /// \brief Notes that an attempt ended without saying anything of the
    /// replica: withdrawn by the caller.
    void on_cancelled() noexcept;

    /// \brief Notes that an attempt was overtaken by a hedge elsewhere.
    void on_hedge_won(duration waited, duration usual, time_point now) noexcept;

    void on_load(reported_load load, time_point now) noexcept;

    /// \returns Times the usual latency that the next request will take,
    /// without the requests queued before it.
    [[nodiscard]] double slowness(time_point now) const noexcept;

    /// \returns Share of requests that fail, in [0, 1].
    [[nodiscard]] double failure_share(time_point now) const noexcept;

    /// \returns Share of requests that are refused, in [0, 1].
    [[nodiscard]] double shed_share(time_point now) const noexcept;

    /// \returns Requests of this instance that are on their way.
    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return in_flight_;
    }

    /// \returns Requests that the replica has beyond those of this instance,
    /// as told lately.
    [[nodiscard]] double others_load(time_point now) const noexcept;

    /// \returns Whether the replica told lately of more requests than `most`.
    [[nodiscard]] bool
    crowded(std::uint32_t most, time_point now) const noexcept
    {
        return now - others_at_ < recent_load && told_ > most;
    }

    /// \returns Whether a request would find a slot free, as far as is known.
    [[nodiscard]] bool
    has_free_slot(std::uint32_t slots, time_point now) const noexcept
    {
        return in_flight_ + others_load(now) < slots;
    }

    /// \returns Whether the replica has told of a free slot just now.
    [[nodiscard]] bool
    reported_free_slot(std::uint32_t slots, time_point now) const noexcept
    {
        return now - others_at_ < fresh_load && has_free_slot(slots, now);
    }

    /// \returns Whether connections fail and the next try is not yet due.
    [[nodiscard]] bool unreachable(time_point now) const noexcept
    {
        return now < retry_at_;
    }

    /// \returns When the next try to connect is due.
    [[nodiscard]] time_point retry_at() const noexcept { return retry_at_; }

    /// \returns Since when the replica owes an answer without any sign of
    /// life, or the default time point.
    [[nodiscard]] time_point silent_since() const noexcept { return silent_; }

private:
    void ended() noexcept;

    double slowness_ = 1;
    time_point slowness_at_;
    double failures_ = 0;
    double sheds_ = 0;
    time_point outcomes_at_;
    std::uint32_t in_flight_ = 0;
    double others_ = 0;
    time_point others_at_;
    std::uint32_t told_ = 0; ///< Running and waiting there, as told last.
    std::uint32_t unreachable_streak_ = 0;
    time_point retry_at_;
    time_point silent_;
};

} // namespace peridotward
