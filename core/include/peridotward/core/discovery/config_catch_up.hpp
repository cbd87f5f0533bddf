#pragma once

#include <peridotward/core/discovery/upstream_catalog.hpp>
#include <peridotward/core/membership/membership.hpp>
#include <peridotward/core/routing/forward_config.hpp>

#include <optional>
#include <string>
#include <string_view>

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
    static constexpr milliseconds retry_pause{1000};

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

/// \returns The first service to which a route of `config` forwards but of
/// which no upstream is known; empty if there is none. An instance that can't
/// reach the store may lack the upstreams that a fetched configuration needs,
/// and serves callers better by the one it has.
[[nodiscard]] std::string_view service_without_upstreams(
    const forward_config& config, const upstream_catalog& catalog);

} // namespace peridotward
