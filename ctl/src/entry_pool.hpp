#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/json.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace peridotward::ctl {

/// The addresses that a caller uses: asked from any instance, kept for as
/// long as the answer says, and passed over while connections to them fail.
class entry_pool
{
public:
    explicit entry_pool(std::vector<endpoint> first);

    /// \returns Whether the addresses are due to be asked for again.
    [[nodiscard]] bool expired(time_point now) const noexcept
    {
        return now >= expires_;
    }

    /// Postpones the next question while one is on its way or has failed.
    void postpone(time_point until) noexcept { expires_ = until; }

    /// Takes the body of an answer to GET /v1/entries.
    ///
    /// \returns Whether it held at least one address.
    bool update(const json& body, time_point now);

    /// \returns The next address in turn; one that failed is passed over as
    /// long as there is another.
    [[nodiscard]] endpoint
    next(const std::optional<endpoint>& avoid = std::nullopt);

    /// Notes that a connection to `entry` failed.
    void note_failure(const endpoint& entry);

private:
    struct known_entry
    {
        endpoint address;
        bool failed = false;
    };

    std::vector<known_entry> entries_;
    std::size_t turn_ = 0;
    time_point expires_{};
};

} // namespace peridotward::ctl
