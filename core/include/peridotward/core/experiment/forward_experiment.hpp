#pragma once

#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace peridotward {

/// \brief A load that the forwarding decisions are played against.
enum class load_pattern : std::uint8_t
{
    calm,     ///< Nothing but the usual spread of work.
    pauses,   ///< Each replica stands still now and then.
    slow,     ///< A sixth of the replicas is ten times slower.
    burst,    ///< Two and a half times the requests for a while.
    shedding, ///< Half of the replicas, but one sound one a shard, refuse most.
    lost_answers, ///< A fifth of the replicas breaks off answers.
};

template<>
struct name_table<load_pattern>
{
    static constexpr std::array entries{
        std::pair{load_pattern::calm, std::string_view{"calm"}},
        std::pair{load_pattern::pauses, std::string_view{"pauses"}},
        std::pair{load_pattern::slow, std::string_view{"slow"}},
        std::pair{load_pattern::burst, std::string_view{"burst"}},
        std::pair{load_pattern::shedding, std::string_view{"shedding"}},
        std::pair{load_pattern::lost_answers, std::string_view{"lost-answers"}},
    };
};

/// \brief What of the decisions is switched on.
struct forward_policy
{
    bool repeats = true;       ///< Hedges and retries.
    bool reported_load = true; ///< Choice by the load that answers tell.
    bool partial = true;       ///< Answers in time without their last parts.
};

/// \brief The size of an experiment; defaults are a deployment of eight
/// instances and ten shards.
struct experiment_size
{
    std::uint32_t instances = 8;
    std::uint32_t shards = 10;
    std::uint32_t replicas = 3; ///< Of each shard, one in each domain.
    std::uint32_t slots = 2;
    std::uint32_t queue = 12;
    double searches_per_second = 180;
    milliseconds work{9}; ///< Mean time of a part.
    milliseconds target{100};
    milliseconds timeout{600};
    seconds length{30};
};

/// \brief What callers and replicas saw.
struct experiment_result
{
    std::uint32_t searches = 0;
    std::uint32_t in_time = 0; ///< Whole or partial.
    std::uint32_t partial = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t refused = 0;
    std::uint32_t arrivals = 0;
    std::uint32_t rejected = 0; ///< Arrivals that a replica refused.
    std::uint32_t repeats = 0;  ///< Arrivals beyond the first of a part.
    double worst_excess = 0;    ///< Repeats beyond the bound, any window.
    double worth = 0;           ///< Share of the callers' value, in [0, 1].
    double busiest = 0;         ///< Arrivals of the busiest replica / mean.
};

/// \brief Plays `pattern` in virtual time, with the modules of routing,
/// placement, budgets and gathering as the gateway uses them.
///
/// \remarks Deterministic for a seed. An answer in time is worth the square
/// of the share of its parts, a late one a tenth of that.
[[nodiscard]] experiment_result play(
    load_pattern pattern,
    const forward_policy& policy,
    std::uint64_t seed,
    const experiment_size& size = {});

} // namespace peridotward
