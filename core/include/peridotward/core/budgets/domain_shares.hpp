#pragma once

#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace peridotward {

/// \brief Divides each failure domain's limit among its upstreams.
///
/// \remarks Shares follow the slots of all upstreams of the domain, also of
/// those that are out, and add up to the limit exactly; so taking an upstream
/// out changes no share, and its holder may lend its share to others. One
/// instance at a time holds an upstream and with it the share, so the sum
/// over all instances stays under the limit. A share that a newer bundle
/// raises keeps its old value until others, which may still use the older
/// bundle, had time to follow.
class domain_shares
{
public:
    /// \brief Share of an upstream whose domain has no limit.
    static constexpr std::uint32_t unlimited =
        std::numeric_limits<std::uint32_t>::max();

    /// \param older The bundle that was in force before, or null.
    /// \param settle How long raised shares wait.
    void on_bundle(
        const bundle& in_force,
        const bundle* older,
        time_point now,
        duration settle);

    /// \returns The share of `upstream`.
    [[nodiscard]] std::uint32_t
    of(upstream_index upstream, time_point now) const noexcept;

private:
    std::vector<std::uint32_t> shares_;  ///< By upstream.
    std::vector<std::uint32_t> lowered_; ///< Until `settled_`, by upstream.
    time_point settled_;
};

} // namespace peridotward
