#pragma once

#include <peridotward/base/time.hpp>

namespace peridotward {

/// \brief Interface for reading the time, so that tests can control it.
class clock
{
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// \returns Monotonic time, which also advances while the machine is
    /// suspended.
    [[nodiscard]] virtual time_point now() const noexcept = 0;

    /// \returns Wall-clock time; it may jump in both directions.
    [[nodiscard]] virtual wall_time wall() const noexcept = 0;
};

/// \brief The clock of the operating system.
class machine_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const noexcept override;
    [[nodiscard]] wall_time wall() const noexcept override;
};

/// \brief A clock that advances only by `advance`, for tests.
class manual_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const noexcept override { return now_; }
    [[nodiscard]] wall_time wall() const noexcept override { return wall_; }

    /// \brief Advances the monotonic and the wall-clock time by `step`.
    void advance(duration step) noexcept
    {
        now_ += step;
        wall_ += std::chrono::duration_cast<milliseconds>(step);
    }

private:
    time_point now_{std::chrono::hours{1}};
    wall_time wall_{std::chrono::hours{1}};
};

} // namespace peridotward
