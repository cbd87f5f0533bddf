#include <peridotward/core/experiment/forward_experiment.hpp>
#include <peridotward/core/gather/forwarded_request.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace peridotward {

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr microseconds way{700}; ///< To a replica; the same back.
constexpr double late_worth = 0.1;
constexpr retry_bounds bounds{0.2, 56, seconds{10}};
/// Time in which the instances get to know the replicas.
constexpr seconds warm_up{5};

constexpr milliseconds pause_length{120};
constexpr milliseconds pause_interval{3000};
constexpr double slow_share = 1.0 / 6;
constexpr double slow_factor = 10;
constexpr double burst_factor = 2.5;
constexpr double shedding_share = 0.5;
constexpr double shed_part = 0.6;
constexpr double losing_share = 0.2;
constexpr double lost_part = 0.2;

class experiment;

/// A replica with slots, a queue and the pattern's fault.
struct simulated_replica
{
    std::uint32_t number = 0;
    bool faulty = false;
    std::uint32_t running = 0;
    std::vector<std::function<void()>> waiting;
    std::uint32_t arrivals = 0;
    duration pause_offset{};
};

struct simulated_instance
{
    simulated_instance(std::uint64_t seed, const std::string& domain)
        : random{seed},
          choice{catalog, cold_bounds{}, domain, random},
          repeats{bounds}
    {}

    random_source random;
    upstream_catalog catalog;
    replica_choice choice;
    retry_ledger repeats;
    fleet_view fleet;
    latency_profile profile;

    [[nodiscard]] forward_tools tools()
    {
        return {&catalog, &choice, &repeats, &fleet};
    }
};

struct simulated_search
{
    simulated_instance* owner;
    forwarded_request request;
    bool counted;
};

class experiment
{
public:
    experiment(
        load_pattern pattern,
        const forward_policy& policy,
        std::uint64_t seed,
        const experiment_size& size);

    experiment_result run();

private:
    using search_ptr = std::shared_ptr<simulated_search>;

    struct event
    {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(time_point when, std::function<void()> action)
    {
        events_.push({when, order_++, std::move(action)});
    }
    void build_config();
    void build_instances(std::uint64_t seed);
    void arrive();
    void act(const search_ptr& search, forward_actions& actions);
    void send(const search_ptr& search, const forward_send& wanted);
    void
    reach(const search_ptr& search, std::uint32_t attempt, std::uint32_t to);
    void begin_work(
        const search_ptr& search,
        std::uint32_t attempt,
        simulated_replica& replica);
    void end_work(const search_ptr&, std::uint32_t attempt, simulated_replica&);
    void answer(
        const search_ptr& search,
        std::uint32_t attempt,
        forward_outcome outcome,
        told_load load);
    void finish(simulated_search& search, forward_end end);
    void note_repeat(std::uint32_t shard);
    [[nodiscard]] duration work_of(const simulated_replica& replica);
    [[nodiscard]] duration pause_left(const simulated_replica& replica) const;
    [[nodiscard]] bool faulty_now() const;
    [[nodiscard]] double rate() const;

    load_pattern pattern_;
    forward_policy policy_;
    experiment_size size_;
    random_source random_;
    forward_config_ptr config_;
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<simulated_replica> replicas_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::vector<time_point>> asked_;
    std::vector<std::vector<time_point>> repeated_;
    std::uint64_t order_ = 0;
    time_point now_ = start;
    experiment_result result_;
    double earned_ = 0;
};

experiment::experiment(
    load_pattern pattern,
    const forward_policy& policy,
    std::uint64_t seed,
    const experiment_size& size)
    : pattern_{pattern},
      policy_{policy},
      size_{size},
      random_{seed},
      asked_(size.shards),
      repeated_(size.shards)
{
    build_config();
    replicas_.resize(static_cast<std::size_t>(size.shards) * size.replicas);
    const double share = pattern == load_pattern::slow       ? slow_share
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
    build_instances(seed);
}

void experiment::build_config()
{
    auto built = std::make_shared<forward_config>();
    forward_route route;
    route.name = "search";
    route.timeout = size_.timeout;
    route.target_latency = size_.target;
    route.max_attempts = policy_.repeats ? 2 : 1;
    route.top_records = 10;
    route.least_shard_share = policy_.partial ? 0.89 : 1.0;
    for (std::uint32_t shard = 0; shard < size_.shards; ++shard) {
        built->services.push_back({"s" + std::to_string(shard), "/", 0, {}, 0});
        route.shards.push_back(shard);
    }
    built->routes.push_back(std::move(route));
    config_ = std::move(built);
}

void experiment::build_instances(std::uint64_t seed)
{
    for (std::uint32_t i = 0; i < size_.instances; ++i) {
        auto made = std::make_unique<simulated_instance>(
            seed * 1000 + i, "d" + std::to_string(i % size_.replicas));
        made->repeats.started(start - seconds{60});
        made->repeats.instances(size_.instances);
        made->fleet.self = "i" + std::to_string(i);
        for (const auto& known : replicas_) {
            upstream_record record;
            record.id = "r" + std::to_string(known.number);
            record.service =
                "s" + std::to_string(known.number / size_.replicas);
            record.domain = "d" + std::to_string(known.number % size_.replicas);
            record.slots = size_.slots;
            made->catalog.publish(std::move(record), start);
        }
        instances_.push_back(std::move(made));
    }
}

bool experiment::faulty_now() const
{
    const auto third = size_.length / 3;
    return now_ >= start + third && now_ < start + 2 * third;
}

double experiment::rate() const
{
    const bool burst = pattern_ == load_pattern::burst && faulty_now();
    return size_.searches_per_second * (burst ? burst_factor : 1.0);
}

duration experiment::pause_left(const simulated_replica& replica) const
{
    if (pattern_ != load_pattern::pauses)
        return {};
    const auto phase =
        (now_ - start + replica.pause_offset) % duration{pause_interval};
    return phase < pause_length ? duration{pause_length} - phase : duration{};
}

duration experiment::work_of(const simulated_replica& replica)
{
    const double spread = 0.65 + 0.7 * random_.unit();
    const double tail = random_.unit() < 0.01 ? 5 : 1;
    const bool slow =
        pattern_ == load_pattern::slow && replica.faulty && faulty_now();
    const std::chrono::duration<double> mean = size_.work;
    return std::chrono::duration_cast<duration>(
        mean * spread * tail * (slow ? slow_factor : 1.0));
}

void experiment::arrive()
{
    if (now_ - start >= size_.length)
        return;
    const std::chrono::duration<double> gap{
        (0.2 + 1.6 * random_.unit()) / rate()};
    at(now_ + std::chrono::duration_cast<duration>(gap), [this] { arrive(); });
    auto& owner = *instances_[random_.below(instances_.size())];
    const forward_times times{
        now_,
        now_ + size_.target - milliseconds{7},
        now_ + size_.timeout - milliseconds{12},
        now_ + size_.timeout};
    const auto& route = config_->routes.front();
    const auto search = std::make_shared<simulated_search>(simulated_search{
        &owner,
        {config_, route, route.shards, times},
        now_ - start >= warm_up});
    for (auto& times_of_shard : asked_)
        times_of_shard.push_back(now_);
    forward_actions actions;
    search->request.begin(owner.tools(), owner.profile, now_, actions);
    act(search, actions);
}

void experiment::act(const search_ptr& search, forward_actions& actions)
{
    for (const auto& wanted : actions.sends)
        send(search, wanted);
    if (actions.end) {
        finish(*search, *actions.end);
        return;
    }
    if (search->request.ended())
        return;
    const auto due = std::max(search->request.next_wakeup(), now_);
    at(due, [this, search, due] {
        if (search->request.ended() || search->request.next_wakeup() > due)
            return;
        forward_actions wanted;
        auto& owner = *search->owner;
        search->request.on_time(owner.tools(), owner.profile, now_, wanted);
        act(search, wanted);
    });
}

void experiment::note_repeat(std::uint32_t shard)
{
    ++result_.repeats;
    repeated_[shard].push_back(now_);
    const auto within = [&](const std::vector<time_point>& times) {
        return times.end() -
               std::upper_bound(
                   times.begin(), times.end(), now_ - bounds.window);
    };
    const double allowed =
        bounds.ratio * static_cast<double>(within(asked_[shard])) +
        bounds.extra;
    result_.worst_excess = std::max(
        result_.worst_excess,
        static_cast<double>(within(repeated_[shard])) - allowed);
}

void experiment::send(const search_ptr& search, const forward_send& wanted)
{
    if (wanted.repeat)
        note_repeat(wanted.part);
    at(now_ + way,
       [this, search, wanted] { reach(search, wanted.attempt, wanted.to); });
}

void experiment::reach(
    const search_ptr& search, std::uint32_t attempt, std::uint32_t to)
{
    auto& replica = replicas_[to];
    ++replica.arrivals;
    ++result_.arrivals;
    const bool sheds = pattern_ == load_pattern::shedding && replica.faulty &&
                       faulty_now() && random_.unit() < shed_part;
    if (sheds || replica.waiting.size() >= size_.queue) {
        ++result_.rejected;
        const told_load load{replica.running, 0, size_.slots};
        at(now_ + way, [this, search, attempt, load] {
            answer(search, attempt, forward_outcome::refused, load);
        });
        return;
    }
    if (replica.running < size_.slots)
        begin_work(search, attempt, replica);
    else
        replica.waiting.push_back([this, search, attempt, &replica] {
            begin_work(search, attempt, replica);
        });
}

void experiment::begin_work(
    const search_ptr& search, std::uint32_t attempt, simulated_replica& replica)
{
    ++replica.running;
    const auto until = now_ + pause_left(replica) + work_of(replica);
    at(until, [this, search, attempt, &replica] {
        end_work(search, attempt, replica);
    });
}

void experiment::end_work(
    const search_ptr& search, std::uint32_t attempt, simulated_replica& replica)
{
    --replica.running;
    const bool lost = pattern_ == load_pattern::lost_answers &&
                      replica.faulty && faulty_now() &&
                      random_.unit() < lost_part;
    const told_load load{
        replica.running,
        static_cast<std::uint32_t>(replica.waiting.size()),
        size_.slots};
    at(now_ + way, [this, search, attempt, lost, load] {
        answer(
            search,
            attempt,
            lost ? forward_outcome::broken : forward_outcome::answered,
            load);
    });
    if (replica.waiting.empty())
        return;
    const auto next = std::move(replica.waiting.front());
    replica.waiting.erase(replica.waiting.begin());
    next();
}

void experiment::answer(
    const search_ptr& search,
    std::uint32_t attempt,
    forward_outcome outcome,
    told_load load)
{
    auto& owner = *search->owner;
    if (policy_.told_load)
        owner.catalog.at(search->request.replica_of(attempt))
            .health.on_load(load, now_);
    forward_actions actions;
    search->request.on_result(
        attempt, outcome, owner.tools(), owner.profile, now_, actions);
    if (!actions.sends.empty() || actions.end)
        act(search, actions);
}

void experiment::finish(simulated_search& search, forward_end end)
{
    if (!search.counted)
        return;
    ++result_.searches;
    const auto& request = search.request;
    const bool success =
        end == forward_end::complete || end == forward_end::partial;
    if (!success) {
        ++(end == forward_end::not_run ? result_.refused : result_.failed);
        return;
    }
    const double share =
        static_cast<double>(request.parts_in()) / request.part_count();
    const bool in_time = now_ <= request.times().arrived + size_.target;
    ++(in_time ? result_.in_time : result_.late);
    result_.partial += end == forward_end::partial ? 1 : 0;
    earned_ += share * share * (in_time ? 1.0 : late_worth);
}

experiment_result experiment::run()
{
    at(start, [this] { arrive(); });
    while (!events_.empty()) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    std::uint32_t busiest = 0;
    for (const auto& replica : replicas_)
        busiest = std::max(busiest, replica.arrivals);
    if (result_.arrivals > 0)
        result_.busiest = static_cast<double>(busiest) *
                          static_cast<double>(replicas_.size()) /
                          result_.arrivals;
    if (result_.searches > 0)
        result_.worth = earned_ / result_.searches;
    return result_;
}

} // namespace

experiment_result play(
    load_pattern pattern,
    const forward_policy& policy,
    std::uint64_t seed,
    const experiment_size& size)
{
    return experiment{pattern, policy, seed, size}.run();
}

} // namespace peridotward
