#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace peridotward {

/// \brief Divides the limit of each failure domain among its upstreams.
///
/// \remarks Shares are proportional to the slots of all upstreams of the
/// domain, including removed ones, and add up to the limit exactly. Removing an
/// upstream therefore changes no share, and its holder may lend its share to
/// other upstreams. An upstream and its share are held by one instance at a
/// time, so all instances together stay within the limit. When a newer bundle
/// raises a share, the old value applies until instances that may still use
/// the older bundle had time to follow.
class domain_shares
{
public:
    /// \brief Share of an upstream whose domain has no limit.
    static constexpr std::uint32_t unlimited =
        std::numeric_limits<std::uint32_t>::max();

    /// \param older The previous bundle, or null.
    /// \param settle_time Delay before raised shares apply.
    void on_bundle(
        const bundle& in_force,
        const bundle* older,
        time_point now,
        duration settle_time);

    /// \returns The share of `upstream`.
    [[nodiscard]] std::uint32_t
    of(upstream_index upstream, time_point now) const noexcept;

private:
    std::vector<std::uint32_t> shares_;         ///< By upstream.
    std::vector<std::uint32_t> interim_shares_; ///< Until `settled_at_`.
    time_point settled_at_;
};

} // namespace peridotward
