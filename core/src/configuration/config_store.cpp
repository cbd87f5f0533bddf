#include <peridotward/base/hash.hpp>
#include <peridotward/core/configuration/config_store.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr std::string_view watcher_key = "configuration watch";
constexpr duration shortest_watch_gap = milliseconds{100};
constexpr std::size_t max_known_peers = 4096;

} // namespace

config_store::config_store(
    config_store_options options, time_point now, std::uint64_t seed)
    : options_{std::move(options)},
      random_{seed},
      woke_{now},
      heard_after_{now},
      last_input_{now},
      next_read_{now},
      next_watch_{now},
      next_ask_{now},
      next_manifest_{now}
{}

void config_store::set_live(std::vector<std::string> instance_ids)
{
    live_ = std::move(instance_ids);
    std::erase(live_, options_.self);
    std::sort(live_.begin(), live_.end());
    linked_ = true;
    const auto own = rendezvous_weight(watcher_key, options_.self);
    rank_ = static_cast<std::size_t>(
        std::count_if(live_.begin(), live_.end(), [&](const auto& instance_id) {
            return rendezvous_weight(watcher_key, instance_id) > own;
        }));
}

config_actions config_store::on_tick(time_point now)
{
    observe(now);
    config_actions actions;
    ask_peers(now, actions);
    fetch_manifest(now, actions);
    advance(now, actions);
    read_service(now, actions);
    settle_if_heard(now);
    return actions;
}

config_actions config_store::on_read(
    const config_read& read, config_read_result ended, time_point now)
{
    observe(now);
    config_actions actions;
    if (!ended.succeeded)
        ++counters_.service_failures;
    counters_.service_bytes += ended.bytes.size();
    if (read.kind == config_read_kind::part)
        end_part_read(read, ended, now, actions);
    else
        end_value_read(read, ended, now, actions);
    settle_if_heard(now);
    return actions;
}

config_actions config_store::on_summary(
    const std::string& from, const config_summary& theirs, time_point now)
{
    observe(now);
    config_actions actions;
    note_peer(from, theirs, now);
    const bool forked = in_force_ && theirs.version == in_force_->version &&
                        !theirs.digest.empty() &&
                        theirs.digest != in_force_->digest;
    if (forked)
        refuse(
            {error_kind::config_forked,
             "version " + std::to_string(theirs.version) +
                 " is in force there with the digest " + theirs.digest +
                 ", here with " + in_force_->digest},
            theirs.version,
            from,
            actions);
    fetch_manifest(now, actions);
    settle_if_heard(now);
    return actions;
}

config_summary config_store::summary() const
{
    config_summary ours;
    if (in_force_) {
        ours.version = in_force_->version;
        ours.digest = in_force_->digest;
    }
    return ours;
}

std::string config_store::waiting_for(time_point now) const
{
    if (settled(now))
        return {};
    if (settled_)
        return "the process was paused";
    if (!in_force_)
        return "no bundle is in force";
    if (newest_heard() > in_force_->version)
        return "a peer has version " + std::to_string(newest_heard()) +
               " of the bundle in force, this instance " +
               std::to_string(in_force_->version);
    return "heard " + std::to_string(heard_peers()) + " of " +
           std::to_string(enough_peers()) +
           " peers about the bundle since the start or the last pause";
}

/// Sees a pause of the process as a gap between two inputs.
void config_store::observe(time_point now)
{
    if (now - last_input_ > options_.pause_gap) {
        ++counters_.pauses;
        settled_ = false;
        woke_ = now;
        heard_after_ = now + options_.drain_wait;
        next_ask_ = heard_after_;
        next_read_ = now;
        for (auto& [instance_id, view] : peers_)
            view.heard = false;
    }
    last_input_ = std::max(last_input_, now);
}

void config_store::ask_peers(time_point now, config_actions& actions)
{
    if (settled_ || now < next_ask_)
        return;
    next_ask_ = now + options_.retry;
    for (const auto& peer : pick_peers(options_.asked_peers))
        send(peer, config_fetch{}, actions);
}

void config_store::note_peer(
    const std::string& from, const config_summary& theirs, time_point now)
{
    if (peers_.size() >= max_known_peers && !peers_.contains(from))
        return;
    auto& view = peers_[from];
    view.summary = theirs;
    view.heard = view.heard || now >= heard_after_;
}

void config_store::settle_if_heard(time_point now)
{
    if (settled_ || !in_force_ || newest_heard() > in_force_->version)
        return;
    const bool enough = heard_peers() >= enough_peers();
    settled_ = !linked_ || enough || now - woke_ >= options_.join_wait;
}

std::size_t config_store::heard_peers() const
{
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [](const auto& entry) {
            return entry.second.heard && entry.second.summary.version > 0;
        }));
}

/// With this instance they are a majority of the seats.
std::size_t config_store::enough_peers() const
{
    const auto instances =
        in_force_ ? in_force_->instances.size() : live_.size() + 1;
    return std::min(instances / 2, options_.asked_peers);
}

bundle_version config_store::newest_heard() const
{
    bundle_version newest = 0;
    for (const auto& [instance_id, view] : peers_)
        newest = std::max(newest, view.summary.version);
    return newest;
}

bundle_version config_store::newest_here() const
{
    const auto applied = in_force_ ? in_force_->version : 0;
    return candidate_ ? std::max(applied, candidate_->root.version) : applied;
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
    auto interval = watches() ? options_.watch_check : options_.slow_read;
    if (!settled_)
        interval = options_.retry;
    constexpr double shortest_share = 0.75;
    const double share = shortest_share + random_.unit() / 2;
    return std::chrono::duration_cast<duration>(interval * share);
}

void config_store::end_value_read(
    const config_read& read,
    const config_read_result& ended,
    time_point now,
    config_actions& actions)
{
    const bool watched = read.kind == config_read_kind::watch;
    (watched ? watching_ : reading_) = false;
    const bool numbered = ended.succeeded && ended.value_version > 0;
    if (watched)
        next_watch_ = now + (numbered ? shortest_watch_gap : options_.retry);
    if (!ended.succeeded)
        return;
    value_version_ = ended.value_version;
    consider(ended.bytes, std::string{service_source}, now, actions);
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

std::vector<std::string> config_store::pick_peers(std::size_t count)
{
    auto picked = live_;
    count = std::min(count, picked.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(picked[i], picked[i + random_.below(picked.size() - i)]);
    picked.resize(count);
    return picked;
}

} // namespace peridotward
