#pragma once

#include <peridotward/base/time.hpp>

#include <array>
#include <cstdint>

namespace peridotward {

/// \brief How many repeats upstreams bear, over the whole fleet.
struct retry_bounds
{
    double ratio = 0.1;            ///< Repeats for each request.
    double burst_allowance = 10;   ///< Repeats beyond the ratio.
    duration window = seconds{10}; ///< Any span of this length counts.

    bool operator==(const retry_bounds&) const = default;
};

/// \brief What a repeat is for.
enum class extra_attempt_kind : std::uint8_t
{
    retry, ///< The attempt before has failed; without it the part is lost.
    hedge, ///< The attempt before is slow.
};

/// \brief One instance's allowance of repeats at one service.
///
/// \remarks Keeps the sum over all instances within `retry_bounds` without
/// asking them: an instance spends the ratio of its own requests and an equal
/// part of the extra. Repeats are counted over a span a little longer than
/// the window and requests over one a little shorter, so the bound holds for
/// every position of the window.
class retry_budget_window
{
public:
    static constexpr std::size_t slices = 10;
    /// Share of the allowance that hedges leave to retries.
    static constexpr double retry_reserve = 0.25;

    /// \brief Counts a request of a caller for the service.
    void on_request(const retry_bounds& bounds, time_point now) noexcept;

    /// \param instances Instances that may spend from the same extra.
    /// \returns Whether a repeat may be sent; counts it if so.
    [[nodiscard]] bool try_spend(
        const retry_bounds& bounds,
        std::uint32_t instances,
        extra_attempt_kind use,
        time_point now) noexcept;

    /// \brief Gives back a repeat that was not sent.
    void refund() noexcept;

    /// \returns The retries that may be sent now.
    [[nodiscard]] double remaining(
        const retry_bounds& bounds,
        std::uint32_t instances,
        time_point now) noexcept;

private:
    struct slice
    {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    struct totals
    {
        double allowed = 0;
        double spent = 0;
    };

    [[nodiscard]] totals count(
        const retry_bounds& bounds,
        std::uint32_t instances,
        time_point now) noexcept;
    void advance(const retry_bounds& bounds, time_point now) noexcept;

    /// The window, the slice that is filling, and one more for repeats.
    std::array<slice, slices + 2> ring_{};
    std::size_t head_ = 0;
    time_point head_start_;
};

} // namespace peridotward
