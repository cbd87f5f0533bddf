#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>

#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace peridotward {

/// \brief Divides each failure domain's limit among its upstreams.
///
/// \remarks Shares follow the slots of the upstreams that operators admit and
/// add up to the limit exactly. One instance at a time holds an upstream and
/// with it the share, so the sum over all instances stays under the limit. A
/// share that a newer bundle raises keeps its old value until others, which
/// may still use the older bundle, had time to follow.
class domain_shares
{
public:
    /// \brief Share of an upstream whose domain has no limit.
    static constexpr std::uint32_t unlimited =
        std::numeric_limits<std::uint32_t>::max();

    /// \param older The bundle that was in force before, or null.
    /// \param settled When raised shares count.
    void
    on_bundle(const bundle& in_force, const bundle* older, time_point settled);

    /// \returns The share of `upstream`.
    [[nodiscard]] std::uint32_t
    of(upstream_index upstream, time_point now) const noexcept;

    /// \returns The upstreams of `domain`.
    [[nodiscard]] std::span<const upstream_index>
    members(domain_index domain) const noexcept;

private:
    std::vector<std::uint32_t> shares_;  ///< By upstream.
    std::vector<std::uint32_t> lowered_; ///< Until `settled_`, by upstream.
    std::vector<std::vector<upstream_index>> members_; ///< By domain.
    time_point settled_;
};

} // namespace peridotward
