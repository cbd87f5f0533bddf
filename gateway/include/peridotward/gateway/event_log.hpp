#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/base/time.hpp>

#include <array>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace peridotward {

/// \brief Which lines are dropped first when the rate limit is reached.
enum class event_severity : std::uint8_t
{
    routine, ///< An expected event; dropped first.
    notable, ///< A failure, a refusal, or a change of state.
};

/// \brief One `key=value` pair of a log line.
struct event_field
{
    event_field(std::string_view name, std::string_view text)
        : key{name}, value{text}
    {}
    template<std::integral Number>
    event_field(std::string_view name, Number number)
        : key{name}, value{std::to_string(number)}
    {}
    event_field(std::string_view name, duration time);

    std::string_view key;
    std::string value;
};

/// \brief Structured log on standard output:
/// `time=CIVIL t=MICROSECONDS instance=ID event=NAME key=value ...`.
///
/// \remarks `t` is monotonic and orders the lines of one process; `time` is
/// wall-clock time (UTC) and orders the lines of several machines as exactly as
/// their clocks agree.
///
/// \remarks Never blocks. Lines beyond the rate limit, and lines for which the
/// buffer has no space because standard output isn't read, are dropped and
/// counted; the event `log_left_out` reports the number of dropped lines. Part
/// of the rate limit is reserved for notable events. See docs/OPERATIONS.md.
class event_log
{
public:
    /// Max lines per second, and how many of them are reserved for notable
    /// events.
    static constexpr std::uint32_t lines_per_second = 200;
    static constexpr std::uint32_t notable_reserve = 120;
    /// Max buffered bytes while standard output isn't read.
    static constexpr std::size_t max_pending_bytes = 262144;

    /// \param time Source of the field `time` only; must outlive the log.
    event_log(int descriptor, std::string instance, const clock& time);

    void write(
        time_point now,
        event_severity severity,
        std::string_view event,
        std::initializer_list<event_field> fields);

    /// \returns Whether a routine event would be written now. If not, counts
    /// a dropped line, and the caller needn't format the event's fields.
    [[nodiscard]] bool accepts_routine(time_point now);

    /// \brief Writes as much of the buffer as standard output accepts without
    /// blocking.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    void update_window(time_point now);
    void append(
        time_point now,
        std::string_view event,
        std::initializer_list<event_field> fields);

    int descriptor_;
    std::string instance_;
    const clock* clock_;
    std::string pending_;
    time_point window_start_;
    std::uint32_t window_lines_ = 0;
    std::uint32_t unreported_drops_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace peridotward
