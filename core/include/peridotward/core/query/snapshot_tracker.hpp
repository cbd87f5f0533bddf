#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/query/attempt.hpp>

#include <compare>
#include <optional>
#include <vector>

namespace peridotward {

/// \brief Remembers which snapshots each upstream was last seen to serve.
class snapshot_tracker
{
public:
    /// \brief Notes a report; an unknown range is ignored.
    void observe(upstream_index upstream, snapshot_range seen, time_point now);

    /// \brief Keeps what is known under the indices of `next`; upstreams are
    /// matched by id.
    void rebase(const bundle* before, const bundle& next);

    /// \returns What `upstream` was last seen to serve.
    [[nodiscard]] snapshot_range at(upstream_index upstream) const noexcept;

    /// \returns The snapshot that covers the most keys of `wanted`; among
    /// these the one whose keys have a second upstream to hedge to, then the
    /// newest. Nothing when no upstream has told a snapshot.
    ///
    /// \remarks A choice is kept until a report changes what is known.
    [[nodiscard]] std::optional<snapshot_id>
    choose(const bundle& in_force, search_index wanted) const;

private:
    /// Keys that a snapshot can be read for, and those with a spare upstream.
    struct reach
    {
        std::uint64_t keys = 0;
        std::uint64_t spare_keys = 0;

        constexpr auto operator<=>(const reach&) const noexcept = default;
    };

    struct kept_choice
    {
        bundle_version version = 0;
        bool valid = false;
        std::optional<snapshot_id> snapshot;
    };

    [[nodiscard]] std::optional<snapshot_id>
    find_best(const bundle& in_force, const search& wanted) const;
    [[nodiscard]] reach reach_of(
        const bundle& in_force,
        const search& wanted,
        snapshot_id candidate) const;

    std::vector<snapshot_range> seen_;
    mutable std::vector<kept_choice> kept_;
};

} // namespace peridotward
