#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/core/membership/peer_message.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Maximum number of instances that vote on one upstream.
inline constexpr std::size_t max_voters = 5;

/// \brief The instances that vote on the lease of one upstream, best rank
/// first.
struct voter_set
{
    std::array<instance_index, max_voters> instances{};
    std::uint8_t count = 0;

    [[nodiscard]] std::span<const instance_index> ranked() const noexcept
    {
        return {instances.data(), count};
    }

    /// \returns The number of grants that a lease needs.
    [[nodiscard]] std::size_t majority() const noexcept
    {
        return count / 2U + 1U;
    }

    /// \returns The rank of the instance, or `count` when it does not vote.
    [[nodiscard]] std::size_t rank_of(instance_index instance) const noexcept;

    bool operator==(const voter_set&) const = default;
};

/// \returns The id of the upstream in lease messages.
[[nodiscard]] resource_id resource_of(const upstream& target) noexcept;

/// \brief The voter sets of all upstreams of one bundle.
///
/// \remarks The instances of a failure domain form a hash ring, ordered by the
/// hash of their ids. The voters of an upstream are the five instances that
/// follow the hash of its own id, ranked by rendezvous weight. Neighbours on
/// the ring share voter sets, so an instance exchanges messages with at most
/// eight others at any fleet size. When the upstream's own domain has fewer
/// than five instances, the ring of all other instances supplies the rest.
/// Source of the ring: Stoica et al., "Chord", 2001.
class voter_table
{
public:
    voter_table() = default;
    explicit voter_table(const bundle& in_force);

    /// \returns The voters of `upstream`; empty for an unknown upstream.
    [[nodiscard]] const voter_set& of(upstream_index upstream) const noexcept;

    /// \returns The id of `upstream` in lease messages.
    [[nodiscard]] resource_id resource(upstream_index upstream) const noexcept
    {
        return resources_[upstream.position()];
    }

    /// \returns The upstream with `id` in lease messages, or an invalid index.
    [[nodiscard]] upstream_index find(resource_id id) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return voters_.size(); }

private:
    struct resource_mapping
    {
        resource_id id{};
        upstream_index upstream;
    };

    std::vector<voter_set> voters_;       ///< By upstream.
    std::vector<resource_id> resources_;  ///< By upstream.
    std::vector<resource_mapping> by_id_; ///< Sorted by `id`.
};

/// \returns The voters of one upstream of `in_force`.
///
/// \remarks For tests and tools; `voter_table` computes all at once.
[[nodiscard]] voter_set
voters_of(const bundle& in_force, upstream_index upstream);

} // namespace peridotward
