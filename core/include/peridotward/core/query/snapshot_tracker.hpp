#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <compare>
#include <optional>
#include <vector>

namespace peridotward {

/// \brief Keeps the range of snapshots that each upstream last reported, and
/// chooses the snapshot that a query reads.
class snapshot_tracker
{
public:
    /// \brief Stores the range that `upstream` reported; an unknown range is
    /// ignored.
    void
    observe(upstream_index upstream, snapshot_range reported, time_point now);

    /// \brief Moves the stored ranges from the indices of `previous` to those
    /// of `next`; upstreams are matched by id.
    void rebase(const bundle* previous, const bundle& next);

    /// \returns The range that `upstream` last reported.
    [[nodiscard]] snapshot_range at(upstream_index upstream) const noexcept;

    /// \returns The snapshot that covers the most keys of the search; of
    /// several the one for which the most keys have a second upstream to hedge
    /// to, then the newest. Nothing when no upstream has reported a snapshot.
    ///
    /// \remarks The result is cached until a report changes a stored range.
    [[nodiscard]] std::optional<snapshot_id>
    choose(const bundle& in_force, search_index index) const;

private:
    /// Keys of a search for which upstreams serve a snapshot.
    struct snapshot_coverage
    {
        std::uint64_t keys = 0;
        std::uint64_t redundant_keys = 0; ///< Served by several upstreams.

        constexpr auto
        operator<=>(const snapshot_coverage&) const noexcept = default;
    };

    struct cached_choice
    {
        bundle_version version = 0;
        bool valid = false;
        std::optional<snapshot_id> snapshot;
    };

    [[nodiscard]] std::optional<snapshot_id>
    find_best(const bundle& in_force, const search& definition) const;
    [[nodiscard]] snapshot_coverage coverage_of(
        const bundle& in_force,
        const search& definition,
        snapshot_id candidate) const;

    std::vector<snapshot_range> reported_;      ///< By upstream index.
    mutable std::vector<cached_choice> cached_; ///< By search index.
};

} // namespace peridotward
