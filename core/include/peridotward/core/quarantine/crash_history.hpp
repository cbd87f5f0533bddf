#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/core/quarantine/crash_record.hpp>

#include <algorithm>
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief How a request is sent, by the crashes that it was part of.
enum class request_trust : std::uint8_t
{
    trusted,
    suspected,   ///< Sent to one upstream first, without hedges.
    quarantined, ///< Not sent.
};

/// \brief The requests that were running at upstreams when these crashed.
///
/// \remarks Each crash raises the level of all requests that the upstream was
/// running. An answer clears a request, since one that crashes its upstreams is
/// never answered; so harmless requests are soon trusted again. At
/// `quarantine_level` a request is no longer sent, by any instance that has the
/// record.
class crash_history
{
public:
    static constexpr std::uint32_t quarantine_level = 3;
    /// How long a record is kept after its level has changed.
    static constexpr std::chrono::minutes retention{10};
    /// How long the record of a cleared request is kept, so that all instances
    /// hear of it.
    static constexpr seconds cleared_retention{20};
    /// A request that was answered within this time is not suspected.
    static constexpr seconds answer_memory{10};
    /// Beyond it the records with the lowest level are dropped, oldest first.
    static constexpr std::size_t max_records = 1024;

    /// \brief What was known of a request when an attempt was sent.
    struct mark
    {
        std::uint32_t generation = 0;
        std::uint32_t level = 0;
    };

    /// \brief The marks of both fingerprints of a request.
    struct marks
    {
        mark exact;
        mark similar;

        [[nodiscard]] std::uint32_t level() const noexcept
        {
            return std::max(exact.level, similar.level);
        }
    };

    [[nodiscard]] mark
    mark_of(request_fingerprint request, time_point now) const;

    [[nodiscard]] marks
    marks_of(const request_fingerprints& request, time_point now) const
    {
        return {mark_of(request.exact, now), mark_of(request.similar, now)};
    }

    [[nodiscard]] request_trust
    trust(const request_fingerprints& request, time_point now) const;

    /// \returns When a quarantined request is sent again.
    [[nodiscard]] time_point quarantined_until(
        const request_fingerprints& request, time_point now) const;

    /// \brief Records that an upstream crashed while it ran an attempt.
    ///
    /// \remarks For the similar requests only crashes by different requests
    /// count: those of one caller concern its own requests alone.
    /// \param sent_with `marks_of` when the attempt was sent.
    /// \returns The fingerprints whose level rose.
    std::vector<request_fingerprint> on_crash(
        const request_fingerprints& request,
        const marks& sent_with,
        time_point now);

    /// \brief Records a whole answer to an attempt that crashed no upstream.
    void on_answered(const request_fingerprints& request, time_point now);

    /// \brief Takes over what another instance knows.
    /// \returns Whether the level rose.
    bool merge(const crash_record& record, time_point now);

    /// \brief Drops records whose time has passed.
    void expire(time_point now);

    /// \returns At most `max_count` records that changed lately; each is
    /// returned by `transmissions` calls after a change.
    [[nodiscard]] std::vector<crash_record>
    take_changed(std::size_t max_count, time_point now);

    /// \returns At most `max_count` records from `min_level`, beginning after
    /// those of the last call.
    [[nodiscard]] std::vector<crash_record> next_records(
        std::size_t max_count, std::uint32_t min_level, time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

    /// \returns The number of quarantined requests.
    [[nodiscard]] std::size_t quarantined() const noexcept;

private:
    /// Calls of `take_changed` that return a changed record.
    static constexpr std::uint32_t transmissions = 4;
    static constexpr std::size_t answered_slots = 4096;

    struct known_request
    {
        std::uint32_t generation = 0;
        std::uint32_t level = 0;
        time_point until;
        std::uint32_t remaining_transmissions = 0;
    };
    struct answered_request
    {
        request_fingerprint request{};
        time_point at;
    };
    using record_map = std::unordered_map<request_fingerprint, known_request>;

    /// \returns Whether the level rose.
    bool raise(request_fingerprint request, mark sent_with, time_point now);
    void on_answered(request_fingerprint request, time_point now);
    [[nodiscard]] bool
    answered_lately(request_fingerprint request, time_point now) const;
    [[nodiscard]] static crash_record record_of(
        request_fingerprint request,
        const known_request& known,
        time_point now);
    void
    change(request_fingerprint request, known_request& known, time_point until);
    void
    clear(request_fingerprint request, known_request& known, time_point now);
    /// Keeps the number of records within `max_records`.
    void evict();

    record_map records_;
    /// Requests with records to transmit, oldest change first.
    std::vector<request_fingerprint> changed_;
    /// The latest answered requests; each has one possible place.
    std::vector<answered_request> answered_ =
        std::vector<answered_request>(answered_slots);
    std::uint64_t next_request_ = 0;
};

} // namespace peridotward
