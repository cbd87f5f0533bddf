#pragma once

#include <peridotward/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotward::ctl {

/// One line of a gateway's structured log.
struct log_line
{
    wall_time at; ///< Wall-clock time, corrected for clock jumps.
    std::uint64_t monotonic_us = 0; ///< Microseconds on the process's clock.
    std::string instance;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// \returns The value of a field, or an empty string without the field.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// \returns The line as text: wall-clock time, instance, event and fields.
[[nodiscard]] std::string render(const log_line& line);

/// Parses the logs of many instances and extracts the timeline of one request.
class log_timeline
{
public:
    /// State changes of an instance are included from this long before a
    /// request: longer than a request and a suspicion of the membership last.
    static constexpr milliseconds context_window{3000};

    /// Parses the log of one or more processes. Lines that are not valid lines
    /// of a gateway's log, such as one truncated by a kill, are counted and
    /// skipped.
    void add_log(std::string_view text);

    [[nodiscard]] std::uint64_t invalid_lines() const noexcept
    {
        return invalid_lines_;
    }

    /// \returns In time order, the lines of the request and the state changes
    /// of the instances that logged them, of replicas only those that the
    /// request used. Empty for a request that no line names.
    [[nodiscard]] std::vector<log_line>
    request_lines(std::string_view request) const;

    /// \returns The outcome of the request and its cause, in one sentence, from
    /// the lines that `request_lines` returned.
    [[nodiscard]] static std::string
    summarize(const std::vector<log_line>& timeline);

private:
    /// One process of an instance, from start to end; its lines share a clock.
    struct process
    {
        std::vector<log_line> lines;
        std::vector<std::int64_t>
            offsets; ///< Wall-clock time minus `monotonic_us`, in us.
    };

    std::map<std::string, std::vector<process>> processes_; ///< By instance.
    std::uint64_t invalid_lines_ = 0;
};

} // namespace peridotward::ctl
