#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/config/bundle_parts.hpp>
#include <peridotward/config/sign_off.hpp>
#include <peridotward/core/configuration/config_read.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief Times and counts of a `config_store`.
struct config_store_options
{
    std::string self; ///< Seat of this instance.
    sign_off_policy sign_off;
    std::size_t watchers = 3;           ///< Live seats that keep a watch.
    std::size_t fanout = 6;             ///< Peers told of a new version.
    std::size_t asked_peers = 16;       ///< Most peers asked after a start.
    std::size_t batch = 32;             ///< Most parts asked for at once.
    duration retry = milliseconds{500}; ///< After a failed read.
    duration fetch_timeout = milliseconds{400};
    duration watch_check = seconds{5};       ///< Own read of a watcher.
    duration slow_read = seconds{60};        ///< Own read of the others.
    duration join_wait = seconds{3};         ///< Longest wait for peers.
    duration drain_wait = milliseconds{200}; ///< For messages sent earlier.
    duration pause_gap = seconds{1};         ///< A longer gap is a pause.
};

/// \brief Counts since the start, for metrics and the dump.
struct config_counters
{
    std::uint64_t service_calls = 0;
    std::uint64_t service_failures = 0;
    std::uint64_t service_bytes = 0;
    std::uint64_t peer_messages = 0;
    std::uint64_t peer_bytes_sent = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t older = 0;
    std::uint64_t forked = 0;
    std::uint64_t pauses = 0;
};

/// \brief Decides which configuration is in force on one instance.
///
/// \remarks Sans-IO: `on_tick` is to be called at least each 200 ms; all
/// actions that a call returns are to be carried out, and each read reported
/// by `on_read`. What is in force only ever moves to a higher version, and
/// only whole. The rules are in docs/design/configuration.md. Source of the
/// spread: Demers et al., "Epidemic algorithms for replicated database
/// maintenance", 1987.
class config_store
{
public:
    /// \brief Name of the configuration service in refusals.
    static constexpr std::string_view service_source = "service";

    config_store(
        config_store_options options, time_point now, std::uint64_t seed);

    /// \brief Tells which other seats are believed alive.
    ///
    /// \remarks Before the first call the store takes itself for the only
    /// instance: it settles with its first bundle and keeps a watch.
    void set_live(std::vector<std::string> instance_ids);

    [[nodiscard]] config_actions on_tick(time_point now);

    /// \brief Takes the end of a read that an earlier call asked for.
    [[nodiscard]] config_actions
    on_read(const config_read& read, config_read_result ended, time_point now);

    /// \brief Takes what a peer has in force, as probes carry it.
    [[nodiscard]] config_actions on_summary(
        const std::string& from, const config_summary& theirs, time_point now);

    [[nodiscard]] config_actions on_fetch(
        const std::string& from, const config_fetch& wanted, time_point now);

    [[nodiscard]] config_actions
    on_part(const std::string& from, config_part part, time_point now);

    /// \returns What is in force, or null before the first bundle.
    [[nodiscard]] const bundle_ptr& in_force() const noexcept
    {
        return in_force_;
    }

    /// \returns What probes carry; the list version is left to the caller.
    [[nodiscard]] config_summary summary() const;

    /// \returns Whether new work may be taken and sent at `now`. False after
    /// a start or a pause until enough peers were heard.
    [[nodiscard]] bool settled(time_point now) const noexcept
    {
        return settled_ && now - last_input_ <= options_.pause_gap;
    }

    /// \returns Why it is not settled, or an empty text.
    [[nodiscard]] std::string waiting_for(time_point now) const;

    /// \returns Whether this instance keeps a watch.
    [[nodiscard]] bool watches() const noexcept
    {
        return rank_ < options_.watchers;
    }

    [[nodiscard]] const config_counters& counters() const noexcept
    {
        return counters_;
    }

    /// \returns The latest refusals, oldest first.
    [[nodiscard]] const std::deque<config_refusal>& refusals() const noexcept
    {
        return refusals_;
    }

private:
    /// What is known of one peer.
    struct peer_view
    {
        config_summary summary;
        bool heard = false; ///< Since the start or the last pause.
    };

    /// A newer manifest whose parts are being collected.
    struct candidate
    {
        manifest root;
        std::string text;
        std::string source;                    ///< Seat, or `service_source`.
        std::map<std::string, part_ref> asked; ///< In flight, by digest.
        time_point asked_at;
        std::uint32_t attempts = 0;
    };

    void observe(time_point now);
    void ask_peers(time_point now, config_actions& actions);
    void note_peer(
        const std::string& from, const config_summary& theirs, time_point now);
    void settle_if_heard(time_point now);
    [[nodiscard]] std::size_t heard_peers() const;
    [[nodiscard]] std::size_t enough_peers() const;
    [[nodiscard]] bundle_version newest_heard() const;
    [[nodiscard]] bundle_version newest_here() const;

    void read_service(time_point now, config_actions& actions);
    [[nodiscard]] duration read_interval();
    void end_value_read(
        const config_read& read,
        const config_read_result& ended,
        time_point now,
        config_actions& actions);
    void end_part_read(
        const config_read& read,
        config_read_result& ended,
        time_point now,
        config_actions& actions);
    void fetch_manifest(time_point now, config_actions& actions);
    [[nodiscard]] bool usable(const config_summary& theirs) const;

    void consider(
        const std::string& text,
        const std::string& source,
        time_point now,
        config_actions& actions);
    void take_signatures(manifest root, const std::string& text);
    [[nodiscard]] result<void> admissible(const manifest& root) const;
    void advance(time_point now, config_actions& actions);
    void
    drop_candidate(const error& problem, bool forever, config_actions& actions);
    void ask_for_parts(
        const std::vector<part_ref>& missing,
        time_point now,
        config_actions& actions);
    void take_part(
        std::string bytes,
        const std::string& digest,
        time_point now,
        config_actions& actions);
    void apply(config_actions& actions);
    void announce(config_actions& actions);
    void change_source();

    void
    send(const std::string& to, peer_message message, config_actions& actions);
    void refuse(
        const error& problem,
        bundle_version version,
        const std::string& source,
        config_actions& actions);
    [[nodiscard]] std::vector<std::string> pick_peers(std::size_t count);

    config_store_options options_;
    random_source random_;
    std::vector<std::string> live_; ///< Other seats, sorted.
    bool linked_ = false;           ///< Whether `set_live` was called.
    std::size_t rank_ = 0;          ///< Of this seat among the live ones.

    bundle_ptr in_force_;
    manifest root_;        ///< Of the bundle in force.
    std::string manifest_; ///< Its text.
    part_map parts_;       ///< Of the one in force and the candidate.
    std::optional<candidate> candidate_;
    std::map<bundle_version, std::string> unusable_; ///< Refused digests.

    bool settled_ = false;
    time_point woke_;
    time_point heard_after_; ///< Earlier messages may be older than a pause.
    time_point last_input_;
    std::map<std::string, peer_view, std::less<>> peers_;

    bool reading_ = false;
    bool watching_ = false;
    time_point next_read_;
    time_point next_watch_;
    time_point next_ask_;
    time_point next_manifest_;
    std::uint64_t value_version_ = 0;

    config_counters counters_;
    std::deque<config_refusal> refusals_;
    std::set<std::string> reported_; ///< Refusals told since the last change.
};

} // namespace peridotward
