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

/// \brief Most seats that vote on one upstream.
inline constexpr std::size_t max_voters = 5;

/// \brief The seats that vote on who may use one upstream, best rank first.
struct voter_list
{
    std::array<instance_index, max_voters> instances{};
    std::uint8_t count = 0;

    [[nodiscard]] std::span<const instance_index> ranked() const noexcept
    {
        return {instances.data(), count};
    }

    /// \returns How many grants make a lease.
    [[nodiscard]] std::size_t majority() const noexcept
    {
        return count / 2U + 1U;
    }

    /// \returns The rank of `instance`, or `count` when it does not vote.
    [[nodiscard]] std::size_t rank_of(instance_index instance) const noexcept;

    bool operator==(const voter_list&) const = default;
};

/// \returns The name of `upstream` in leases.
[[nodiscard]] resource_id resource_of(const upstream& named) noexcept;

/// \brief The voters of all upstreams of one bundle.
///
/// \remarks The seats of a failure domain stand on a ring by the hash of
/// their ids; an upstream's voters are the five that follow its own hash, in
/// the order of their rendezvous weights. Neighbours on the ring share
/// electorates, so an instance speaks to at most eight others, at any size of
/// the fleet. Where the upstream's own domain has fewer than five seats, the
/// ring of all other seats fills up. Source of the ring: Stoica et al.,
/// "Chord", 2001.
class electorate
{
public:
    electorate() = default;
    explicit electorate(const bundle& in_force);

    /// \returns The voters of `upstream`; empty when it is not known.
    [[nodiscard]] const voter_list& of(upstream_index upstream) const noexcept;

    /// \returns The name of `upstream` in leases.
    [[nodiscard]] resource_id resource(upstream_index upstream) const noexcept
    {
        return resources_[upstream.position()];
    }

    /// \returns The upstream named `id` in leases, or an invalid index.
    [[nodiscard]] upstream_index find(resource_id id) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return voters_.size(); }

private:
    struct named_upstream
    {
        resource_id id{};
        upstream_index upstream;
    };

    std::vector<voter_list> voters_;     ///< By upstream.
    std::vector<resource_id> resources_; ///< By upstream.
    std::vector<named_upstream> by_id_;  ///< Sorted by `id`.
};

/// \returns The voters of one upstream of `in_force`.
///
/// \remarks For tests and tools; `electorate` computes all at once.
[[nodiscard]] voter_list
voters_of(const bundle& in_force, upstream_index upstream);

} // namespace peridotward
