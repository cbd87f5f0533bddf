#include <peridotward/base/hash.hpp>
#include <peridotward/core/configuration/config_store.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr std::string_view watcher_key = "configuration watch";
constexpr duration min_watch_gap = milliseconds{100};
constexpr std::size_t max_known_peers = 4096;

} // namespace

config_store::config_store(
    config_store_options options, time_point now, std::uint64_t seed)
    : options_{std::move(options)},
      random_{seed},
      started_or_resumed_{now},
      fresh_after_{now},
      last_call_{now},
      next_read_{now},
      next_watch_{now},
      next_peer_query_{now},
      next_manifest_{now}
{}

void config_store::set_live(std::vector<std::string> instance_ids)
{
    live_ = std::move(instance_ids);
    std::erase(live_, options_.self);
    std::sort(live_.begin(), live_.end());
    live_known_ = true;
    const auto own = rendezvous_weight(watcher_key, options_.self);
    rank_ = static_cast<std::size_t>(
        std::count_if(live_.begin(), live_.end(), [&](const auto& instance_id) {
            return rendezvous_weight(watcher_key, instance_id) > own;
        }));
}

config_actions config_store::on_tick(time_point now)
{
    detect_pause(now);
    config_actions actions;
    query_peers(now, actions);
    request_manifest(now, actions);
    advance_candidate(now, actions);
    read_service(now, actions);
    update_settled(now);
    return actions;
}

config_actions config_store::on_read(
    const config_read& read, config_read_result read_result, time_point now)
{
    detect_pause(now);
    config_actions actions;
    if (!read_result.succeeded)
        ++counters_.service_failures;
    counters_.service_bytes += read_result.bytes.size();
    if (read.kind == config_read_kind::part)
        on_part_read(read, read_result, now, actions);
    else
        on_value_read(read, read_result, now, actions);
    update_settled(now);
    return actions;
}

config_actions config_store::on_summary(
    const std::string& from, const config_summary& peer_summary, time_point now)
{
    detect_pause(now);
    config_actions actions;
    update_peer(from, peer_summary, now);
    const bool forked = in_force_ &&
                        peer_summary.version == in_force_->version &&
                        !peer_summary.digest.empty() &&
                        peer_summary.digest != in_force_->digest;
    if (forked)
        refuse(
            {error_kind::config_forked,
             "version " + std::to_string(peer_summary.version) +
                 " is in force at the peer with the digest " +
                 peer_summary.digest + ", at this instance with " +
                 in_force_->digest},
            peer_summary.version,
            from,
            actions);
    request_manifest(now, actions);
    update_settled(now);
    return actions;
}

config_summary config_store::summary() const
{
    config_summary own_summary;
    if (in_force_) {
        own_summary.version = in_force_->version;
        own_summary.digest = in_force_->digest;
    }
    return own_summary;
}

std::string config_store::waiting_for(time_point now) const
{
    if (settled(now))
        return {};
    if (settled_)
        return "the process was paused";
    if (!in_force_)
        return "no bundle is in force";
    if (newest_peer_version() > in_force_->version)
        return "a peer has version " + std::to_string(newest_peer_version()) +
               " of the bundle in force, this instance " +
               std::to_string(in_force_->version);
    return "heard " + std::to_string(reporting_peers()) + " of " +
           std::to_string(required_peers()) +
           " peers about the bundle since the start or the last pause";
}

/// Detects a pause of the process by the gap since the previous call.
void config_store::detect_pause(time_point now)
{
    if (now - last_call_ > options_.max_call_gap) {
        ++counters_.pauses;
        settled_ = false;
        started_or_resumed_ = now;
        fresh_after_ = now + options_.drain_wait;
        next_peer_query_ = fresh_after_;
        next_read_ = now;
        for (auto& [instance_id, view] : peers_)
            view.reported = false;
    }
    last_call_ = std::max(last_call_, now);
}

void config_store::query_peers(time_point now, config_actions& actions)
{
    if (settled_ || now < next_peer_query_)
        return;
    next_peer_query_ = now + options_.retry_delay;
    for (const auto& peer : sample_peers(options_.max_queried_peers))
        send(peer, config_fetch{}, actions);
}

void config_store::update_peer(
    const std::string& from, const config_summary& peer_summary, time_point now)
{
    if (peers_.size() >= max_known_peers && !peers_.contains(from))
        return;
    auto& view = peers_[from];
    view.summary = peer_summary;
    view.reported = view.reported || now >= fresh_after_;
}

void config_store::update_settled(time_point now)
{
    if (settled_ || !in_force_ || newest_peer_version() > in_force_->version)
        return;
    const bool enough = reporting_peers() >= required_peers();
    settled_ = !live_known_ || enough ||
               now - started_or_resumed_ >= options_.join_wait;
}

std::size_t config_store::reporting_peers() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [](const auto& entry) {
            return entry.second.reported && entry.second.summary.version > 0;
        }));
}

/// Together with this instance, that many peers are a majority of the
/// configured instances, limited by `max_queried_peers`.
std::size_t config_store::required_peers() const
{
    const auto instances =
        in_force_ ? in_force_->instances.size() : live_.size() + 1;
    return std::min(instances / 2, options_.max_queried_peers);
}

bundle_version config_store::newest_peer_version() const
{
    bundle_version newest = 0;
    for (const auto& [instance_id, view] : peers_)
        newest = std::max(newest, view.summary.version);
    return newest;
}

bundle_version config_store::newest_own_version() const
{
    const auto version_in_force = in_force_ ? in_force_->version : 0;
    return candidate_ ? std::max(version_in_force, candidate_->root.version)
                      : version_in_force;
}

void config_store::read_service(time_point now, config_actions& actions)
{
    if (!reading_ && now >= next_read_) {
        reading_ = true;
        next_read_ = now + read_interval();
        actions.reads.push_back({config_read_kind::manifest, 0, {}});
        ++counters_.service_calls;
    }
    if (!watching_ && in_force_ && watches() && now >= next_watch_) {
        watching_ = true;
        actions.reads.push_back({config_read_kind::watch, value_version_, {}});
        ++counters_.service_calls;
    }
}

duration config_store::read_interval()
{
    auto interval = watches() ? options_.watcher_read_interval
                              : options_.default_read_interval;
    if (!settled_)
        interval = options_.retry_delay;
    constexpr double shortest_share = 0.75;
    const double share = shortest_share + random_.unit() / 2;
    return std::chrono::duration_cast<duration>(interval * share);
}

void config_store::on_value_read(
    const config_read& read,
    const config_read_result& read_result,
    time_point now,
    config_actions& actions)
{
    const bool watched = read.kind == config_read_kind::watch;
    (watched ? watching_ : reading_) = false;
    const bool numbered =
        read_result.succeeded && read_result.value_version > 0;
    if (watched)
        next_watch_ = now + (numbered ? min_watch_gap : options_.retry_delay);
    if (!read_result.succeeded)
        return;
    value_version_ = read_result.value_version;
    consider_manifest(
        read_result.bytes, std::string{service_source}, now, actions);
}

void config_store::send(
    const std::string& to, peer_message message, config_actions& actions)
{
    ++counters_.peer_messages;
    if (const auto* part = std::get_if<config_part>(&message))
        counters_.peer_bytes_sent += part->digest.size() + part->bytes.size();
    else if (const auto* fetch = std::get_if<config_fetch>(&message))
        for (const auto& digest : fetch->digests)
            counters_.peer_bytes_sent += digest.size();
    actions.messages.push_back({to, std::move(message)});
}

std::vector<std::string> config_store::sample_peers(std::size_t count)
{
    auto sampled = live_;
    count = std::min(count, sampled.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(sampled[i], sampled[i + random_.below(sampled.size() - i)]);
    sampled.resize(count);
    return sampled;
}

} // namespace peridotward
