#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/placement/replica_policy.hpp>
#include <peridotward/core/placement/replica_stats.hpp>
#include <peridotward/core/query/snapshot_tracker.hpp>

#include <optional>

namespace peridotward {

/// \brief Picks the better of two random upstreams by own observations.
///
/// \remarks Upstreams that are known to lack the snapshot, that drain or that
/// operators took out are never chosen. Those in a cold start or in a pause
/// after failures are chosen only where nothing better is left, or now and
/// then so that a cold one warms up. An upstream without recent answers
/// counts as typical, so a slow one is tried again. Source: Mitzenmacher,
/// "The power of two choices in randomized load balancing", 2001.
class adaptive_selector
{
public:
    /// \brief `planned` is the bundle of the query and `current` the one that
    /// `seen` and `snapshots` know; `translation` leads from the upstreams of
    /// the first to those of the second and is null when they are the same.
    adaptive_selector(
        const bundle& planned,
        const bundle& current,
        const replica_stats& seen,
        const snapshot_tracker& snapshots,
        domain_index own_domain,
        random_source& random,
        const bundle_translation* translation = nullptr) noexcept
        : planned_{&planned},
          current_{&current},
          seen_{&seen},
          snapshots_{&snapshots},
          translation_{translation},
          own_domain_{own_domain},
          random_{&random}
    {}

    /// \returns The chosen upstream of the query's bundle, if any may serve.
    [[nodiscard]] std::optional<upstream_index>
    choose(const selection_criteria& wish);

private:
    /// Order in which upstreams are taken; the first non-empty one counts.
    enum class tier : std::uint8_t
    {
        good,
        cold,
        failing,
        unusable,
    };

    struct sample
    {
        upstream_index first;
        upstream_index second;
        std::uint64_t count = 0;
    };

    [[nodiscard]] upstream_index known(upstream_index upstream) const noexcept;
    [[nodiscard]] tier
    tier_of(upstream_index candidate, const selection_criteria& wish) const;
    void add(sample& to, upstream_index candidate);
    [[nodiscard]] std::optional<upstream_index>
    better(const sample& from, time_point now) const;
    [[nodiscard]] double cost(upstream_index candidate, time_point now) const;

    const bundle* planned_;
    const bundle* current_;
    const replica_stats* seen_;
    const snapshot_tracker* snapshots_;
    const bundle_translation* translation_;
    domain_index own_domain_;
    random_source* random_;
};

} // namespace peridotward
