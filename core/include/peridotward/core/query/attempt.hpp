#pragma once

#include <peridotward/base/key_range.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace peridotward {

/// \brief Identifies one attempt; unique within one process lifetime.
enum class attempt_id : std::uint64_t
{
};

/// \brief Identifies one query; unique within one process lifetime.
enum class query_id : std::uint64_t
{
};

/// \brief Inclusive range of snapshots that an upstream serves.
struct snapshot_range
{
    snapshot_id oldest = 1;
    snapshot_id newest = 0; ///< Less than `oldest` while the range is unknown.

    [[nodiscard]] constexpr bool known() const noexcept
    {
        return newest >= oldest;
    }
    [[nodiscard]] constexpr bool contains(snapshot_id id) const noexcept
    {
        return id >= oldest && id <= newest;
    }
};

/// \brief Phase of its lifecycle that an upstream reports.
enum class upstream_phase : std::uint8_t
{
    unknown,
    warm,
    cold,     ///< Warming up; handles only its cold slots.
    draining, ///< Shutting down; accepts no new requests.
};

template<>
struct name_table<upstream_phase>
{
    static constexpr std::array entries{
        std::pair{upstream_phase::unknown, std::string_view{"unknown"}},
        std::pair{upstream_phase::warm, std::string_view{"warm"}},
        std::pair{upstream_phase::cold, std::string_view{"cold"}},
        std::pair{upstream_phase::draining, std::string_view{"draining"}},
    };
};

/// \brief State that an upstream reports about itself; it may be out of date
/// or wrong.
struct upstream_report
{
    upstream_phase phase = upstream_phase::unknown;
    std::uint32_t in_flight = 0;
    snapshot_range snapshots;
};

/// \brief How one attempt ended.
enum class attempt_outcome : std::uint8_t
{
    answered,       ///< A complete answer that passed all checks.
    not_sent,       ///< No byte was sent: no free slot, no owner or no time.
    shed,           ///< The upstream refused the attempt as overloaded.
    draining,       ///< The upstream accepts no new requests.
    timed_out,      ///< No answer before the deadline.
    broken,         ///< Connection failure or unexpected status.
    malformed,      ///< The answer could not be parsed, or was truncated.
    wrong_request,  ///< The answer belongs to another request.
    wrong_range,    ///< The answer covers another range.
    wrong_snapshot, ///< The answer is from another snapshot.
    cancelled,      ///< Cancelled by this process.
};

template<>
struct name_table<attempt_outcome>
{
    static constexpr std::array entries{
        std::pair{attempt_outcome::answered, std::string_view{"answered"}},
        std::pair{attempt_outcome::not_sent, std::string_view{"not_sent"}},
        std::pair{attempt_outcome::shed, std::string_view{"shed"}},
        std::pair{attempt_outcome::draining, std::string_view{"draining"}},
        std::pair{attempt_outcome::timed_out, std::string_view{"timed_out"}},
        std::pair{attempt_outcome::broken, std::string_view{"broken"}},
        std::pair{attempt_outcome::malformed, std::string_view{"malformed"}},
        std::pair{
            attempt_outcome::wrong_request, std::string_view{"wrong_request"}},
        std::pair{
            attempt_outcome::wrong_range, std::string_view{"wrong_range"}},
        std::pair{
            attempt_outcome::wrong_snapshot,
            std::string_view{"wrong_snapshot"}},
        std::pair{attempt_outcome::cancelled, std::string_view{"cancelled"}},
    };
};

/// \brief One request that a query sends to one upstream.
struct attempt
{
    attempt_id id{};
    query_id query{};
    std::uint32_t part = 0; ///< Index in `query_plan::parts`.
    upstream_index upstream;
    key_range range;
    snapshot_id snapshot = 0;
    time_point deadline;
    bool hedge = false; ///< Sent only if the upstream has a free slot now.
};

/// \brief Result of one attempt.
struct attempt_result
{
    attempt_id id{};
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false; ///< Whether any byte may have reached the upstream.
    upstream_report report;
    duration elapsed{};
    /// Free slots of the upstream, as reported by the instance that owns it.
    std::optional<std::uint32_t> free_slots;
};

} // namespace peridotward
