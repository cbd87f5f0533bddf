#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/placement/replica_stats.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr std::uint32_t refresh_interval = 16; // answers
constexpr double least_quantile = 0.02;
constexpr int average_weight = 8;
constexpr int rise_weight = 2;
constexpr std::uint16_t overtaken_limit = 3;
constexpr milliseconds first_pause{50};
constexpr milliseconds longest_pause{2000};
constexpr milliseconds drain_pause{1000};
constexpr std::uint16_t longest_streak = 1000;

void refresh(shard_latency& shard) noexcept
{
    shard.until_refresh = std::min(refresh_interval, shard.recent.count() / 4);
    shard.typical = shard.recent.quantile(0.5);
    shard.least = shard.recent.quantile(least_quantile);
    shard.hedge_after = shard.recent.quantile(replica_stats::hedge_quantile);
}

duration pause_after(std::uint16_t streak) noexcept
{
    const auto doublings = std::min<std::uint16_t>(streak, 7) - 1;
    return std::min<duration>(first_pause * (1 << doublings), longest_pause);
}

void note_failure(
    replica_state& replica, std::uint16_t& streak, time_point now) noexcept
{
    streak = std::min<std::uint16_t>(streak + 1, longest_streak);
    replica.avoid_until =
        std::max(replica.avoid_until, now + pause_after(streak));
}

/// Moves the entries of one table to their places in the next bundle.
template<class Index, class Entry>
std::vector<Entry> moved(
    const std::vector<Entry>& kept,
    const bundle_translation& place,
    std::size_t size)
{
    std::vector<Entry> result(size);
    for (std::uint32_t i = 0; i < kept.size(); ++i) {
        const auto to = place(Index{i});
        if (to.valid())
            result[to.position()] = kept[i];
    }
    return result;
}

} // namespace

void replica_stats::rebase(const bundle* before, const bundle& next)
{
    if (before == nullptr) {
        replicas_.assign(next.upstreams.size(), {});
        shards_.assign(next.services.size(), {});
        return;
    }
    const bundle_translation place{*before, next};
    replicas_ = moved<upstream_index>(replicas_, place, next.upstreams.size());
    shards_ = moved<service_index>(shards_, place, next.services.size());
}

void replica_stats::on_sent(upstream_index upstream) noexcept
{
    ++replicas_[upstream.position()].in_flight;
}

void replica_stats::on_ended(
    upstream_index upstream,
    service_index service,
    const attempt_result& ended,
    time_point now) noexcept
{
    auto& replica = replicas_[upstream.position()];
    auto& shard = shards_[service.position()];
    if (replica.in_flight > 0)
        --replica.in_flight;
    on_report(upstream, ended.report, now);
    if (ended.free_slots)
        replica.full_seen = *ended.free_slots == 0 ? now : time_point{};
    switch (ended.outcome) {
    case attempt_outcome::answered:
        replica.error_streak = 0;
        replica.shed_streak = 0;
        replica.overtaken = 0;
        replica.avoid_until = now;
        note_latency(replica, shard, ended.elapsed, now);
        break;
    case attempt_outcome::shed:
        note_failure(replica, replica.shed_streak, now);
        break;
    case attempt_outcome::draining:
        replica.avoid_until = now + drain_pause;
        break;
    case attempt_outcome::cancelled:
        // A withdrawn attempt was at least this slow; only beyond the hedge
        // delay does it say something of the latency.
        if (ended.sent && shard.hedge_after > duration::zero() &&
            ended.elapsed > shard.hedge_after) {
            note_latency(replica, shard, ended.elapsed, now);
            if (++replica.overtaken >= overtaken_limit)
                note_failure(replica, replica.error_streak, now);
        }
        break;
    case attempt_outcome::timed_out:
        note_latency(replica, shard, ended.elapsed, now);
        note_failure(replica, replica.error_streak, now);
        break;
    case attempt_outcome::broken:
    case attempt_outcome::malformed:
    case attempt_outcome::wrong_request:
    case attempt_outcome::wrong_range:
        note_failure(replica, replica.error_streak, now);
        break;
    case attempt_outcome::not_sent:
    case attempt_outcome::wrong_snapshot:
        break;
    }
}

void replica_stats::on_report(
    upstream_index upstream,
    const upstream_report& report,
    time_point now) noexcept
{
    if (report.phase == upstream_phase::unknown)
        return;
    auto& replica = replicas_[upstream.position()];
    replica.phase = report.phase;
    replica.phase_seen = now;
}

void replica_stats::note_latency(
    replica_state& replica,
    shard_latency& shard,
    duration elapsed,
    time_point now) noexcept
{
    shard.recent.add(elapsed);
    if (shard.until_refresh == 0)
        refresh(shard);
    else
        --shard.until_refresh;
    if (replica.latency == duration::zero())
        replica.latency = elapsed;
    else
        replica.latency +=
            (elapsed - replica.latency) /
            (elapsed > replica.latency ? rise_weight : average_weight);
    replica.latency_seen = now;
}

} // namespace peridotward
