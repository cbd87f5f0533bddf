#pragma once

#include <peridotward/core/budgets/request_window.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotward {

/// \brief This instance's share of the request rate that one replica takes from
/// all instances together.
///
/// \remarks The rate is divided as a number of requests within `window`, since
/// the share of one second would round to nothing in a large fleet. The shares
/// are whole requests and add up to the rate, so that instances which were all
/// idle don't exceed it when they send at once.
///
/// \remarks An instance that has used its share asks another one for requests
/// that this one leaves. The granting instance goes without them until those
/// sent for them have left the window, so the sum also holds when a message is
/// lost.
class rate_share
{
public:
    /// Span for which the rate is divided.
    static constexpr seconds window{4};
    /// How long granted requests may be sent, from the request for them.
    static constexpr seconds grant_term{8};
    /// Remaining time of a grant at which it is renewed if it is in use.
    static constexpr seconds renewal_margin{2};

    /// \returns The share of this instance in requests within `window`. One
    /// instance at least has a request, and so learns when the limit ends.
    /// \param per_second The limit that the replica `id` names.
    [[nodiscard]] static std::uint32_t
    of(double per_second,
       std::string_view id,
       std::string_view self,
       std::span<const std::string> others);

    /// \returns The instances whose share isn't empty, among `instances`.
    [[nodiscard]] static std::vector<std::string> holders(
        double per_second,
        std::string_view id,
        std::span<const std::string> instances);

    /// \brief Counts a request if `share` and grants allow it.
    /// \param share Requests within `window`; spread over its seconds.
    /// \returns Whether the request may be sent.
    [[nodiscard]] bool try_acquire(std::uint32_t share, time_point now);

    /// \brief Removes a request that was counted at `acquired_at` and not sent.
    void release(time_point acquired_at) noexcept
    {
        sent_.release(acquired_at);
    }

    /// \returns The earliest time at which another request may be sent.
    [[nodiscard]] time_point
    earliest_retry(std::uint32_t share, time_point now) const;

    /// \brief Grants requests that this instance leaves to `instance` and
    /// renews those granted before.
    ///
    /// \returns All requests that `instance` now has from this one; 0, and
    /// nothing is renewed, while this instance lacks requests itself.
    [[nodiscard]] std::uint32_t grant(
        std::uint32_t share,
        std::string_view instance,
        std::uint32_t wanted,
        time_point now);

    /// \brief Records what `instance` has granted, in place of earlier grants.
    void
    receive(std::string_view instance, std::uint32_t count, time_point until);

    /// \returns The requests denied since the last call.
    [[nodiscard]] std::uint32_t take_denied() noexcept
    {
        return std::exchange(denied_, 0);
    }

    /// \brief Forgets all grants, since the limit has ended.
    /// \returns The instances that granted or were granted requests.
    [[nodiscard]] std::vector<std::string> take_partners();

    /// \returns At most `max_count` instances whose grants are in use and
    /// expire soon.
    [[nodiscard]] std::vector<std::string> due_renewals(
        std::uint32_t share, std::size_t max_count, time_point now) const;

private:
    struct transfer
    {
        std::string instance;
        std::uint32_t count;
        time_point until;
    };

    [[nodiscard]] static std::uint32_t
    sum(const std::vector<transfer>& transfers, time_point now) noexcept;
    /// \returns Requests that this instance may send within `window`.
    [[nodiscard]] std::uint32_t
    allowance(std::uint32_t share, time_point now) const noexcept;

    request_window sent_{window};
    std::vector<transfer> granted_;
    std::vector<transfer> received_;
    std::uint32_t denied_ = 0;
    time_point denied_at_;
};

} // namespace peridotward
