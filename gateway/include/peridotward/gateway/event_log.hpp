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

/// \brief How much a line matters when not all can be written.
enum class event_rank : std::uint8_t
{
    routine, ///< A decision that went as usual.
    notable, ///< A failure, a refusal, or a change of what is believed.
};

/// \brief One key and value of a line.
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
/// \remarks `t` orders the lines of one process; `time` places them among
/// those of other machines, as well as their clocks agree.
///
/// \remarks Never blocks. What the reader of standard output does not take, or
/// what passes the budget of a second, is dropped and counted; the counts are
/// written as an event of their own. A part of the budget is kept for notable
/// events. See docs/OPERATIONS.md.
class event_log
{
public:
    /// Lines a second, and how many of them only notable events may use.
    static constexpr std::uint32_t lines_per_second = 200;
    static constexpr std::uint32_t notable_reserve = 120;
    /// Bytes kept while standard output is not read.
    static constexpr std::size_t most_pending = 262144;

    /// \param time Read for `time` only; must outlive the log.
    event_log(int descriptor, std::string instance, const clock& time);

    void write(
        time_point now,
        event_rank rank,
        std::string_view event,
        std::initializer_list<event_field> fields);

    /// \returns Whether a routine event would be written now; spares its
    /// fields otherwise.
    [[nodiscard]] bool wants_routine(time_point now);

    /// \brief Hands what is pending to standard output, as far as it takes it.
    void flush();

    [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

private:
    void next_second(time_point now);
    void append(
        time_point now,
        std::string_view event,
        std::initializer_list<event_field> fields);

    int descriptor_;
    std::string instance_;
    const clock* clock_;
    std::string pending_;
    time_point second_;
    std::uint32_t written_ = 0;
    std::uint32_t left_out_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace peridotward
