#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/attempt.hpp>

#include <optional>
#include <vector>

namespace peridotward {

/// \brief Remembers which snapshots each upstream was last seen to serve.
class snapshot_tracker
{
public:
    /// \brief Notes a report; an unknown range is ignored.
    void observe(upstream_index upstream, snapshot_range seen, time_point now);

    /// \brief Forgets an upstream, for example when the bundle changes.
    void clear() noexcept { seen_.clear(); }

    /// \returns What `upstream` was last seen to serve.
    [[nodiscard]] snapshot_range at(upstream_index upstream) const noexcept;

    /// \returns The newest snapshot that at least one admitted upstream of
    /// each shard of `wanted` serves; where no snapshot serves all of them,
    /// the newest among those that serve the most keys.
    [[nodiscard]] std::optional<snapshot_id>
    choose(const bundle& in_force, const search& wanted) const;

private:
    struct sighting
    {
        snapshot_range snapshots;
        time_point seen;
    };

    [[nodiscard]] std::uint64_t covered_keys(
        const bundle& in_force,
        const search& wanted,
        snapshot_id candidate) const;

    std::vector<sighting> seen_;
};

} // namespace peridotward
