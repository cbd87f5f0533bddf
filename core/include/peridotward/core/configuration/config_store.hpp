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

/// \brief Options of a `config_store`.
struct config_store_options
{
    std::string self; ///< Id of this instance.
    sign_off_policy sign_off;
    std::size_t watchers = 3; ///< Live instances that watch the service.
    std::size_t fanout = 6;   ///< Peers notified of a new version.
    std::size_t max_queried_peers = 16; ///< Per round, until settled.
    std::size_t max_parts_per_request = 32;
    duration retry_delay = milliseconds{500}; ///< Delay after a failed read.
    /// Time after which requested manifests and parts are requested again.
    duration fetch_timeout = milliseconds{400};
    /// Interval in which a watcher reads the manifest besides watching it.
    duration watcher_read_interval = seconds{5};
    /// Interval in which an instance that does not watch reads the manifest.
    duration default_read_interval = seconds{60};
    /// Longest wait for answers of peers before the store settles.
    duration join_wait = seconds{3};
    /// Time after a pause in which received messages may have been sent before
    /// its end.
    duration drain_wait = milliseconds{200};
    /// A longer gap between two calls counts as a pause of the process.
    duration max_call_gap = seconds{1};
};

/// \brief Counters since the start, for metrics and the state dump.
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

/// \brief Fetches, checks and distributes bundles, and decides which one is in
/// force on one instance.
///
/// \remarks Sans-IO: `on_tick` must be called at least every 200 ms, all
/// actions that a call returns must be carried out, and the result of each read
/// must be passed to `on_read`. The version in force only increases, and a
/// bundle comes into force only as a whole. The rules are in
/// docs/design/configuration.md. Source of the distribution by gossip: Demers
/// et al., "Epidemic algorithms for replicated database maintenance", 1987.
class config_store
{
public:
    /// \brief Name of the configuration service as the source of a refusal.
    static constexpr std::string_view service_source = "service";

    config_store(
        config_store_options options, time_point now, std::uint64_t seed);

    /// \brief Sets the ids of the instances that are known to be alive.
    ///
    /// \remarks Before the first call the store assumes that no other instance
    /// exists: it settles with its first bundle and watches the service.
    void set_live(std::vector<std::string> instance_ids);

    /// \brief Starts reads and requests that are due.
    [[nodiscard]] config_actions on_tick(time_point now);

    /// \brief Handles the result of a read that an earlier call returned.
    [[nodiscard]] config_actions on_read(
        const config_read& read,
        config_read_result read_result,
        time_point now);

    /// \brief Handles the configuration summary of a peer, as probes carry it.
    [[nodiscard]] config_actions on_summary(
        const std::string& from,
        const config_summary& peer_summary,
        time_point now);

    /// \brief Answers a peer's request for a manifest or for parts.
    [[nodiscard]] config_actions on_fetch(
        const std::string& from, const config_fetch& request, time_point now);

    /// \brief Handles a manifest, a part or a version number from a peer.
    [[nodiscard]] config_actions
    on_part(const std::string& from, config_part part, time_point now);

    /// \returns The bundle in force, or null before the first one.
    [[nodiscard]] const bundle_ptr& in_force() const noexcept
    {
        return in_force_;
    }

    /// \returns The summary for probes; the caller sets its list version.
    [[nodiscard]] config_summary summary() const;

    /// \returns Whether new requests may be accepted and sent at `now`. False
    /// after a start or a pause until enough peers have reported their version
    /// or `join_wait` has passed.
    [[nodiscard]] bool settled(time_point now) const noexcept
    {
        return settled_ && now - last_call_ <= options_.max_call_gap;
    }

    /// \returns Why the store is not settled, or an empty string.
    [[nodiscard]] std::string waiting_for(time_point now) const;

    /// \returns Whether this instance watches the configuration service.
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
    /// The known state of one peer.
    struct peer_view
    {
        config_summary summary;
        /// Whether a summary arrived since the start or the last pause.
        bool reported = false;
    };

    /// A newer manifest whose parts are being collected.
    struct candidate
    {
        manifest root;
        std::string text;
        /// Instance id of a peer, or `service_source`.
        std::string source;
        /// Requested parts that have not arrived, by digest.
        std::map<std::string, part_ref> requested;
        time_point requested_at;
        std::uint32_t source_changes = 0; ///< Since the last valid part.
    };

    void detect_pause(time_point now);
    void query_peers(time_point now, config_actions& actions);
    void update_peer(
        const std::string& from,
        const config_summary& peer_summary,
        time_point now);
    void update_settled(time_point now);
    [[nodiscard]] std::size_t reporting_peers() const;
    [[nodiscard]] std::size_t required_peers() const;
    [[nodiscard]] bundle_version newest_peer_version() const;
    [[nodiscard]] bundle_version newest_own_version() const;

    void read_service(time_point now, config_actions& actions);
    [[nodiscard]] duration read_interval();
    void on_value_read(
        const config_read& read,
        const config_read_result& read_result,
        time_point now,
        config_actions& actions);
    void on_part_read(
        const config_read& read,
        config_read_result& read_result,
        time_point now,
        config_actions& actions);
    void request_manifest(time_point now, config_actions& actions);
    [[nodiscard]] bool usable(const config_summary& peer_summary) const;

    void consider_manifest(
        const std::string& text,
        const std::string& source,
        time_point now,
        config_actions& actions);
    void adopt_signatures(manifest root, const std::string& text);
    [[nodiscard]] result<void> check_admissible(const manifest& root) const;
    void advance_candidate(time_point now, config_actions& actions);
    void drop_candidate(
        const error& problem, bool permanent, config_actions& actions);
    void request_parts(
        const std::vector<part_ref>& missing,
        time_point now,
        config_actions& actions);
    void store_part(
        std::string bytes,
        const std::string& digest,
        time_point now,
        config_actions& actions);
    void apply_candidate(config_actions& actions);
    void announce_version(config_actions& actions);
    void change_source();

    void
    send(const std::string& to, peer_message message, config_actions& actions);
    void refuse(
        const error& problem,
        bundle_version version,
        const std::string& source,
        config_actions& actions);
    [[nodiscard]] std::vector<std::string> sample_peers(std::size_t count);

    config_store_options options_;
    random_source random_;
    std::vector<std::string> live_; ///< Other live instances, sorted by id.
    bool live_known_ = false;       ///< Whether `set_live` was called.
    std::size_t rank_ = 0;          ///< Of this instance among the live ones.

    bundle_ptr in_force_;
    manifest root_;        ///< Of the bundle in force.
    std::string manifest_; ///< Text of `root_`.
    part_map parts_;       ///< Of the bundle in force and of the candidate.
    std::optional<candidate> candidate_;
    /// Digests of refused bundles, by version.
    std::map<bundle_version, std::string> refused_digests_;

    bool settled_ = false;
    time_point started_or_resumed_;
    /// Messages that arrive earlier may have been sent before a pause.
    time_point fresh_after_;
    time_point last_call_;
    std::map<std::string, peer_view, std::less<>> peers_;

    bool reading_ = false;
    bool watching_ = false;
    time_point next_read_;
    time_point next_watch_;
    time_point next_peer_query_;
    time_point next_manifest_;
    std::uint64_t value_version_ = 0;

    config_counters counters_;
    std::deque<config_refusal> refusals_;
    /// Refusals reported since the last change of the bundle in force.
    std::set<std::string> reported_refusals_;
};

} // namespace peridotward
