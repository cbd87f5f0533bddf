#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/placement/replica_policy.hpp>
#include <peridotward/core/placement/replica_stats.hpp>
#include <peridotward/core/query/snapshot_tracker.hpp>

#include <optional>

namespace peridotward {

/// \brief Selects the cheaper of two random upstreams by own observations.
///
/// \remarks Never selects upstreams that are known to lack the snapshot, that
/// are draining or that operators removed. Upstreams in a cold start or in a
/// pause after failures are selected only when there is no better one; a cold
/// one occasionally also otherwise, so that it warms up. An upstream without
/// recent answers counts as typical, so a slow one is tried again. Source:
/// Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
class adaptive_selector
{
public:
    /// \param planned Bundle of the query.
    /// \param current Bundle whose indices `stats` and `snapshots` use.
    /// \param translation Maps the upstreams of `planned` to those of
    /// `current`; null when the bundles are the same.
    adaptive_selector(
        const bundle& planned,
        const bundle& current,
        const replica_stats& stats,
        const snapshot_tracker& snapshots,
        domain_index own_domain,
        random_source& random,
        const bundle_translation* translation = nullptr) noexcept
        : planned_{&planned},
          current_{&current},
          stats_{&stats},
          snapshots_{&snapshots},
          translation_{translation},
          own_domain_{own_domain},
          random_{&random}
    {}

    /// \returns The selected upstream, as an index of the query's bundle, or
    /// nothing when no candidate may serve.
    [[nodiscard]] std::optional<upstream_index>
    choose(const selection_criteria& criteria);

private:
    /// Preference order; the first tier with a candidate is used.
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

    [[nodiscard]] upstream_index
    current_index(upstream_index upstream) const noexcept;
    [[nodiscard]] tier
    tier_of(upstream_index candidate, const selection_criteria& criteria) const;
    void add(sample& to, upstream_index candidate);
    [[nodiscard]] std::optional<upstream_index>
    cheaper(const sample& from, time_point now) const;
    [[nodiscard]] double cost(upstream_index candidate, time_point now) const;

    const bundle* planned_;
    const bundle* current_;
    const replica_stats* stats_;
    const snapshot_tracker* snapshots_;
    const bundle_translation* translation_;
    domain_index own_domain_;
    random_source* random_;
};

} // namespace peridotward
