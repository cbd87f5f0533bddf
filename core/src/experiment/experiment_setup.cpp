#include "experiment.hpp"

#include <algorithm>
#include <array>

namespace peridotward {

namespace {

/// Fractions of the replicas that are faulty.
constexpr double slow_share = 1.0 / 6;
constexpr double shedding_share = 0.5;
constexpr double losing_share = 0.2;
constexpr double slow_surge_share = 0.5;
/// Durations of work at replicas of different usual speeds.
constexpr std::array usual_slownesses{0.8, 1.0, 1.3};

} // namespace

experiment::experiment(
    load_pattern pattern,
    const forward_features& features,
    std::uint64_t seed,
    const experiment_size& size)
    : pattern_{pattern},
      features_{features},
      size_{size},
      random_{seed},
      request_times_(size.shards),
      extra_attempt_times_(size.shards)
{
    if (size_.kinds.empty())
        size_.kinds.push_back(
            {0,
             size.requests_per_second,
             size.work,
             size.target,
             size.timeout,
             size.surge_factor});
    result_.fault_by_kind.resize(size_.kinds.size());
    result_.onset_by_kind.resize(size_.kinds.size());
    result_.fault_by_account.resize(size.accounts.accounts);
    build_config();
    replicas_.resize(static_cast<std::size_t>(size.shards) * size.replicas);
    const double share = pattern == load_pattern::slow ? slow_share
                         : pattern == load_pattern::slow_surge
                             ? slow_surge_share
                         : pattern == load_pattern::shedding ? shedding_share
                                                             : losing_share;
    for (std::uint32_t i = 0; i < replicas_.size(); ++i) {
        replicas_[i].number = i;
        replicas_[i].faulty = random_.unit() < share;
        replicas_[i].pause_offset = milliseconds{
            random_.below(static_cast<std::uint64_t>(pause_interval.count()))};
    }
    if (pattern == load_pattern::shedding) {
        for (std::uint32_t shard = 0; shard < size.shards; ++shard)
            replicas_
                [static_cast<std::size_t>(shard) * size.replicas +
                 random_.below(size.replicas)]
                    .faulty = false;
    }
    if (pattern == load_pattern::changing_speeds) {
        for (auto& each : replicas_)
            each.usual_slowness =
                usual_slownesses.at(random_.below(usual_slownesses.size()));
    }
    build_instances(seed);
}

experiment_size uneven_deployment(std::uint32_t instances)
{
    constexpr std::uint32_t max_busy_instances = 6;
    experiment_size size;
    size.instances = instances;
    size.busy_instances = std::min(max_busy_instances, instances / 4);
    size.shards = 90;
    size.slots = 4;
    size.queue = 24;
    size.requests_per_second = 90;
    size.work = milliseconds{11};
    size.target = milliseconds{150};
    size.timeout = milliseconds{1000};
    size.length = seconds{20};
    return size;
}

void experiment::build_config()
{
    auto built = std::make_shared<forward_config>();
    const bool changing = pattern_ == load_pattern::changing_speeds;
    const std::uint32_t max_attempts = changing ? size_.replicas : 2;
    const double min_part_share = changing ? 0.95 : 0.89;
    std::vector<forward_service_index> shards;
    for (std::uint32_t shard = 0; shard < size_.shards; ++shard) {
        built->services.push_back({"s" + std::to_string(shard), "/", 0, {}, 0});
        shards.push_back(shard);
    }
    for (const auto& kind : size_.kinds) {
        forward_route route;
        route.name = "search" + std::to_string(built->routes.size());
        route.timeout = kind.timeout;
        route.target_latency = kind.target;
        route.priority = kind.priority;
        route.max_attempts = features_.extra_attempts ? max_attempts : 1;
        route.top_records = 10;
        route.min_shard_share =
            features_.partial_answers ? min_part_share : 1.0;
        route.shards = shards;
        built->routes.push_back(std::move(route));
    }
    for (std::uint32_t i = 0; i < size_.accounts.accounts; ++i)
        built->accounts.add({"account" + std::to_string(i), {}, {}}, {});
    config_ = std::move(built);
}

void experiment::build_instances(std::uint64_t seed)
{
    for (std::uint32_t i = 0; i < size_.instances; ++i) {
        auto added = std::make_unique<simulated_instance>(
            seed * 1000 + i, "d" + std::to_string(i % size_.replicas));
        added->budgets.started(experiment_start - seconds{60});
        added->budgets.instances(size_.instances);
        added->profiles.resize(size_.kinds.size());
        added->sheds = features_.load_shedding;
        added->fleet.self = "i" + std::to_string(i);
        for (std::uint32_t other = 0; other < size_.instances; ++other) {
            if (other != i)
                added->fleet.others.push_back("i" + std::to_string(other));
        }
        for (const auto& replica : replicas_) {
            upstream_record record;
            record.id = "r" + std::to_string(replica.number);
            record.address.host = record.id;
            record.service =
                "s" + std::to_string(replica.number / size_.replicas);
            record.domain =
                "d" + std::to_string(replica.number % size_.replicas);
            record.slots = size_.slots;
            added->catalog.publish(std::move(record), experiment_start);
        }
        instances_.push_back(std::move(added));
    }
}

} // namespace peridotward
