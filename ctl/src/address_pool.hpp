#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/json.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace peridotward::ctl {

/// The instance addresses that a caller uses: read from any instance, cached
/// for the time that the answer states, and skipped after a failed connection
/// until the next read.
class address_pool
{
public:
    explicit address_pool(std::vector<endpoint> seed_addresses);

    /// \returns Whether the addresses must be read again.
    [[nodiscard]] bool expired(time_point now) const noexcept
    {
        return now >= expires_;
    }

    /// Delays the next read, after one that failed.
    void postpone(time_point until) noexcept { expires_ = until; }

    /// Replaces the addresses with those of an answer to GET /v1/entries.
    ///
    /// \returns Whether `body` is valid and holds at least one address;
    /// otherwise the addresses stay unchanged.
    bool update(const json& body, time_point now);

    /// \returns The next address, round robin. Addresses that failed and
    /// `avoid` are skipped unless no other is left.
    [[nodiscard]] endpoint
    next(const std::optional<endpoint>& avoid = std::nullopt);

    /// Marks `address` as failed until the next `update`.
    void mark_failed(const endpoint& address);

private:
    struct pooled_address
    {
        endpoint address;
        bool failed = false;
    };

    std::vector<pooled_address> addresses_;
    std::size_t next_position_ = 0;
    time_point expires_{};
};

} // namespace peridotward::ctl
