#pragma once

#include <peridotward/core/budgets/request_window.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace peridotward {

/// \brief This instance's share of the request rate that one replica takes from
/// all instances together.
///
/// \remarks The rate is divided as a number of requests within `window`, since
/// the share of one second would round to nothing in a large fleet. The shares
/// are whole requests and add up to the rate, so that instances which were all
/// idle don't exceed it when they send at once.
class rate_share
{
public:
    /// Span for which the rate is divided.
    static constexpr seconds window{4};

    /// \returns The share of this instance in requests within `window`. One
    /// instance at least has a request, and so learns when the limit ends.
    /// \param per_second The limit that the replica `id` names.
    [[nodiscard]] static std::uint32_t
    of(double per_second,
       std::string_view id,
       std::string_view self,
       std::span<const std::string> others);

    /// \brief Counts a request if `share` allows it.
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

private:
    request_window sent_{window};
};

} // namespace peridotward
