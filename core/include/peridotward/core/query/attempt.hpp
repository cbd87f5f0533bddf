#pragma once

#include <peridotward/base/key_range.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle_types.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace peridotward {

/// \brief Names one attempt; unique within the life of one process.
enum class attempt_id : std::uint64_t
{
};

/// \brief Names one query within one process.
enum class query_id : std::uint64_t
{
};

/// \brief Inclusive range of snapshots that an upstream serves.
struct snapshot_range
{
    snapshot_id oldest = 1;
    snapshot_id newest = 0; ///< Below `oldest` when nothing is known.

    [[nodiscard]] constexpr bool known() const noexcept
    {
        return newest >= oldest;
    }
    [[nodiscard]] constexpr bool contains(snapshot_id id) const noexcept
    {
        return id >= oldest && id <= newest;
    }
};

/// \brief What an upstream says of itself.
enum class upstream_phase : std::uint8_t
{
    unknown,
    warm,
    cold,     ///< Starting; bears only its cold slots.
    draining, ///< Leaving; takes no new work.
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

/// \brief An upstream's own report; it may lag or mislead.
struct upstream_report
{
    upstream_phase phase = upstream_phase::unknown;
    std::uint32_t in_flight = 0;
    snapshot_range snapshots;
};

/// \brief How one attempt ended.
enum class attempt_outcome : std::uint8_t
{
    answered,       ///< A whole answer that passed all checks.
    not_sent,       ///< Nothing left: no budget, no owner or no time.
    shed,           ///< The upstream was too busy.
    draining,       ///< The upstream takes no new work.
    timed_out,      ///< No answer in time.
    broken,         ///< The connection failed, or an unexpected status.
    malformed,      ///< The answer could not be read, or was cut short.
    wrong_request,  ///< The answer belongs to another request.
    wrong_range,    ///< The answer covers another range.
    wrong_snapshot, ///< The answer is from another snapshot.
    cancelled,      ///< Withdrawn by this side.
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

/// \brief One request to one upstream, decided by a query.
struct attempt
{
    attempt_id id{};
    query_id query{};
    std::uint32_t part = 0; ///< Position in the plan.
    upstream_index upstream;
    key_range range;
    snapshot_id snapshot = 0;
    time_point deadline;
    bool hedge = false; ///< Only where a slot is free at once.
};

/// \brief What came of one attempt.
struct attempt_result
{
    attempt_id id{};
    attempt_outcome outcome = attempt_outcome::not_sent;
    bool sent = false; ///< Whether any byte may have reached the upstream.
    upstream_report report;
    duration elapsed{};
    std::optional<std::uint32_t> free_slots; ///< As told by the owner.
};

} // namespace peridotward
