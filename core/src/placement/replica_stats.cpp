#include <peridotward/core/configuration/bundle_translation.hpp>
#include <peridotward/core/placement/replica_stats.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr std::uint32_t refresh_interval = 16; // answers
constexpr double low_quantile = 0.02;
constexpr int average_weight = 8;
constexpr int rise_weight = 2;
constexpr std::uint16_t lost_to_hedge_limit = 3;
constexpr milliseconds initial_pause{50};
constexpr milliseconds max_pause{2000};
constexpr milliseconds drain_pause{1000};
constexpr std::uint16_t max_streak = 1000;

void refresh(shard_latency& shard) noexcept
{
    shard.until_refresh = std::min(refresh_interval, shard.recent.count() / 4);
    shard.typical = shard.recent.quantile(0.5);
    shard.least = shard.recent.quantile(low_quantile);
    shard.hedge_after = shard.recent.quantile(replica_stats::hedge_quantile);
}

duration pause_after(std::uint16_t streak) noexcept
{
    const auto doublings = std::min<std::uint16_t>(streak, 7) - 1;
    return std::min<duration>(initial_pause * (1 << doublings), max_pause);
}

void record_failure(
    replica_state& replica, std::uint16_t& streak, time_point now) noexcept
{
    streak = std::min<std::uint16_t>(streak + 1, max_streak);
    replica.avoid_until =
        std::max(replica.avoid_until, now + pause_after(streak));
}

/// Moves the elements of a table to their indices in the next bundle.
template<class Index, class Element>
std::vector<Element> remap(
    const std::vector<Element>& table,
    const bundle_translation& translation,
    std::size_t size)
{
    std::vector<Element> result(size);
    for (std::uint32_t i = 0; i < table.size(); ++i) {
        const auto target = translation(Index{i});
        if (target.valid())
            result[target.position()] = table[i];
    }
    return result;
}

} // namespace

void replica_stats::rebase(const bundle* previous, const bundle& next)
{
    if (previous == nullptr) {
        replicas_.assign(next.upstreams.size(), {});
        shards_.assign(next.services.size(), {});
        return;
    }
    const bundle_translation translation{*previous, next};
    replicas_ =
        remap<upstream_index>(replicas_, translation, next.upstreams.size());
    shards_ = remap<service_index>(shards_, translation, next.services.size());
}

void replica_stats::on_sent(upstream_index upstream) noexcept
{
    ++replicas_[upstream.position()].in_flight;
}

void replica_stats::on_ended(
    upstream_index upstream,
    service_index service,
    const attempt_result& attempt,
    time_point now) noexcept
{
    auto& replica = replicas_[upstream.position()];
    auto& shard = shards_[service.position()];
    if (replica.in_flight > 0)
        --replica.in_flight;
    on_report(upstream, attempt.report, now);
    if (attempt.free_slots)
        replica.no_free_slot_at = *attempt.free_slots == 0 ? now : time_point{};
    switch (attempt.outcome) {
    case attempt_outcome::answered:
        replica.error_streak = 0;
        replica.shed_streak = 0;
        replica.lost_to_hedge = 0;
        replica.avoid_until = now;
        record_latency(replica, shard, attempt.elapsed, now);
        break;
    case attempt_outcome::shed:
        record_failure(replica, replica.shed_streak, now);
        break;
    case attempt_outcome::draining:
        replica.avoid_until = now + drain_pause;
        break;
    case attempt_outcome::cancelled:
        // The attempt would have taken at least this long; that is significant
        // only beyond the hedge delay.
        if (attempt.sent && shard.hedge_after > duration::zero() &&
            attempt.elapsed > shard.hedge_after) {
            record_latency(replica, shard, attempt.elapsed, now);
            if (++replica.lost_to_hedge >= lost_to_hedge_limit)
                record_failure(replica, replica.error_streak, now);
        }
        break;
    case attempt_outcome::timed_out:
        record_latency(replica, shard, attempt.elapsed, now);
        record_failure(replica, replica.error_streak, now);
        break;
    case attempt_outcome::broken:
    case attempt_outcome::malformed:
    case attempt_outcome::wrong_request:
    case attempt_outcome::wrong_range:
        record_failure(replica, replica.error_streak, now);
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
    replica.phase_at = now;
}

void replica_stats::record_latency(
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
    replica.latency_at = now;
}

} // namespace peridotward
