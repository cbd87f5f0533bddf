#pragma once

#include <peridotward/core/membership/membership.hpp>

#include <optional>
#include <string>

namespace peridotward {

/// \brief Decides when an instance fetches the configuration of another one.
///
/// \remarks Probes carry the version that their sender has in force. An
/// instance that stays behind the highest one has missed a change: it can't
/// reach the store, or started after the store came back from a copy that lacks
/// the change. Changes normally arrive sooner by the store's watch, and none is
/// fetched then. Sans-IO.
class config_catch_up
{
public:
    /// Time for which an instance may be behind; longer than the pause between
    /// two watches, and short enough for the smallest allowed max age of a
    /// configuration (3 s).
    static constexpr milliseconds tolerated_delay{1000};
    /// Pause after a fetch, before another member is asked.
    static constexpr milliseconds retry_pause{300};

    /// \param version In force here; 0 if none is.
    /// \returns The member to fetch the configuration from, or nothing. The
    /// next one is returned only after `finished`.
    [[nodiscard]] std::optional<std::string>
    check(const membership& members, std::uint64_t version, time_point now);

    /// \brief Records that the fetch has ended, successful or not.
    void finished(time_point now) noexcept;

private:
    std::uint64_t version_ = 0;
    std::optional<time_point> behind_since_;
    time_point next_fetch_;
    bool fetching_ = false;
    std::size_t fetches_ = 0; ///< Selects another member after each failure.
};

} // namespace peridotward
