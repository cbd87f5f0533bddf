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
    wall_time at;           ///< On the time line that all machines share.
    std::uint64_t tick = 0; ///< Microseconds of the process's own clock.
    std::string instance;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// \returns The value of a field, or an empty text.
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// \returns The line for reading: civil time, instance, event and fields.
[[nodiscard]] std::string render(const log_line& line);

/// The lines of many instances, and what they say of one request.
class log_story
{
public:
    /// Changes of what an instance believes are told from this long before a
    /// request: longer than a request and a membership's suspicion last.
    static constexpr milliseconds context{3000};

    /// Takes in the log of one or more processes. Text that is no line of a
    /// gateway, such as one cut off by a kill, is counted and left out.
    void read(std::string_view text);

    [[nodiscard]] std::uint64_t unreadable() const noexcept
    {
        return unreadable_;
    }

    /// \returns The lines of the request, and before them the changes of
    /// belief at its instance that concern it, in time order. Empty for a
    /// request that no line names.
    [[nodiscard]] std::vector<log_line> of(std::string_view request) const;

    /// \returns What the lines of `of` say about the cause, in one sentence.
    [[nodiscard]] static std::string
    verdict(const std::vector<log_line>& story);

private:
    /// One life of one instance; its lines share a clock.
    struct process
    {
        std::vector<log_line> lines;
        std::vector<std::int64_t> offsets; ///< Civil time less tick, in us.
    };

    std::map<std::string, std::vector<process>> processes_; ///< By instance.
    std::uint64_t unreadable_ = 0;
};

} // namespace peridotward::ctl
