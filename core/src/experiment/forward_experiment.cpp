#include "experiment.hpp"

#include <algorithm>
#include <numeric>

namespace peridotward {

namespace {

constexpr microseconds network_delay{700}; ///< In each direction.
/// Value of a late answer relative to the same answer in time.
constexpr double late_value = 0.1;
/// Requests that arrive earlier are not counted, since the instances still
/// learn the latencies of the replicas.
constexpr seconds warm_up{5};
constexpr milliseconds pause_length{120};
constexpr double slow_factor = 10;
constexpr double slow_surge_factor = 3;
constexpr double burst_factor = 2.5;
/// Time from the start of a fault until its counts are taken.
constexpr seconds settling_time{2};
/// Time from the end of a fault until the recovery is counted.
constexpr seconds recovery_time{1};
constexpr milliseconds admission_period{250};
/// Probability that a message between instances is lost.
constexpr double message_loss = 0.1;
/// Time from a refusal or failure to the repeat of a caller that doesn't wait.
constexpr milliseconds repeat_delay{2};
/// Probability that a faulty replica refuses an attempt.
constexpr double shed_probability = 0.6;
/// Probability that a faulty replica cuts an answer off.
constexpr double loss_probability = 0.2;
/// Slow moments in `load_pattern::changing_speeds`.
constexpr milliseconds redraw_interval{600};
constexpr double slow_moment_share = 1.0 / 6;
constexpr double slow_moment_factor = 2.5;
constexpr double usual_speed = 100; ///< As replicas report it.

} // namespace

bool experiment::is_fault_active() const
{
    const auto third = size_.length / 3;
    return now_ >= experiment_start + third &&
           now_ < experiment_start + 2 * third;
}

double experiment::arrival_rate_of(const request_kind& kind) const
{
    if (!is_fault_active())
        return kind.requests_per_second;
    switch (pattern_) {
    case load_pattern::burst:
        return kind.requests_per_second * burst_factor;
    case load_pattern::surge:
    case load_pattern::slow_surge:
        return kind.requests_per_second * kind.surge_factor;
    case load_pattern::calm:
    case load_pattern::pauses:
    case load_pattern::slow:
    case load_pattern::shedding:
    case load_pattern::lost_answers:
    case load_pattern::changing_speeds:
        break;
    }
    return kind.requests_per_second;
}

double experiment::account_weight(std::size_t account) const noexcept
{
    return account < size_.accounts.large ? size_.accounts.large_factor : 1;
}

double experiment::current_account_weight(std::size_t account) const noexcept
{
    const bool busy = pattern_ == load_pattern::surge && is_fault_active() &&
                      account + 1 == size_.accounts.accounts;
    return account_weight(account) * (busy ? size_.accounts.busy_factor : 1);
}

double experiment::arrival_rate() const
{
    double rate = 0;
    for (const auto& kind : size_.kinds)
        rate += arrival_rate_of(kind);
    double usual = 0;
    double current = 0;
    for (std::size_t i = 0; i < size_.accounts.accounts; ++i) {
        usual += account_weight(i);
        current += current_account_weight(i);
    }
    return usual > 0 ? rate * current / usual : rate;
}

std::size_t experiment::draw_kind()
{
    if (size_.kinds.size() == 1)
        return 0;
    double total = 0;
    for (const auto& kind : size_.kinds)
        total += arrival_rate_of(kind);
    double left = random_.unit() * total;
    std::size_t kind = 0;
    while (kind + 1 < size_.kinds.size() &&
           left >= arrival_rate_of(size_.kinds[kind]))
        left -= arrival_rate_of(size_.kinds[kind++]);
    return kind;
}

std::size_t experiment::draw_account()
{
    const std::size_t count = size_.accounts.accounts;
    if (count == 0)
        return 0;
    double total = 0;
    for (std::size_t i = 0; i < count; ++i)
        total += current_account_weight(i);
    double left = random_.unit() * total;
    std::size_t account = 0;
    while (account + 1 < count && left >= current_account_weight(account))
        left -= current_account_weight(account++);
    return account;
}

duration experiment::remaining_pause(const simulated_replica& replica) const
{
    if (pattern_ != load_pattern::pauses &&
        pattern_ != load_pattern::changing_speeds)
        return {};
    const auto phase = (now_ - experiment_start + replica.pause_offset) %
                       duration{pause_interval};
    return phase < pause_length ? duration{pause_length} - phase : duration{};
}

duration
experiment::service_time(const simulated_replica& replica, std::size_t kind)
{
    const double spread = 0.65 + 0.7 * random_.unit();
    const double tail = random_.unit() < 0.01 ? 5 : 1;
    double slowness = replica.usual_slowness * replica.momentary_slowness;
    if (replica.faulty && is_fault_active()) {
        if (pattern_ == load_pattern::slow)
            slowness = slow_factor;
        else if (pattern_ == load_pattern::slow_surge)
            slowness = slow_surge_factor;
    }
    const std::chrono::duration<double> mean = size_.kinds[kind].work;
    return std::chrono::duration_cast<duration>(
        mean * spread * tail * slowness);
}

simulated_instance& experiment::draw_instance()
{
    const auto count = instances_.size();
    const std::size_t busy = size_.busy_instances;
    if (busy == 0 || busy >= count)
        return *instances_[random_.below(count)];
    return *instances_
        [random_.unit() < size_.busy_share
             ? random_.below(busy)
             : busy + random_.below(count - busy)];
}

void experiment::redraw_speeds()
{
    if (now_ - experiment_start >= size_.length)
        return;
    for (auto& each : replicas_)
        each.momentary_slowness =
            random_.unit() < slow_moment_share ? slow_moment_factor : 1;
    schedule(now_ + redraw_interval, [this] { redraw_speeds(); });
}

duration experiment::true_latency(const simulated_replica& replica) const
{
    const std::chrono::duration<double> work = size_.work;
    const double rounds =
        replica.running < size_.slots
            ? 1
            : 1 + (static_cast<double>(replica.waiting.size()) + 1) /
                      size_.slots;
    return remaining_pause(replica) +
           std::chrono::duration_cast<duration>(
               work * rounds * replica.usual_slowness *
               replica.momentary_slowness);
}

void experiment::reveal_state(const request_ptr& request)
{
    if (!features_.true_state)
        return;
    const auto& state = request->state;
    std::vector<bool> tried(replicas_.size());
    for (std::uint32_t i = 0; i < state.attempts(); ++i)
        tried[state.replica_of(i)] = true;
    auto& catalog = request->owner->catalog;
    for (std::uint32_t part = 0; part < size_.shards; ++part) {
        std::optional<replica_number> best;
        for (const auto number :
             catalog.of_service(config_->services[part].name)) {
            if (!tried[number] && (!best || true_latency(replicas_[number]) <
                                                true_latency(replicas_[*best])))
                best = number;
        }
        for (const auto number :
             catalog.of_service(config_->services[part].name)) {
            if (number != best)
                catalog.at(number).health.pause_until(now_ + duration{1});
        }
    }
}

time_point
experiment::end_of_work(const simulated_replica& replica, duration work) const
{
    auto end = now_ + remaining_pause(replica) + work;
    if (pattern_ != load_pattern::changing_speeds)
        return end;
    // Work that is in progress at the start of a pause stops for its length.
    const auto begun = now_ + remaining_pause(replica) - experiment_start +
                       replica.pause_offset;
    const duration interval = pause_interval;
    const auto pauses =
        (end - experiment_start + replica.pause_offset) / interval -
        begun / interval;
    return end + pauses * duration{pause_length};
}

std::uint32_t experiment::reported_speed(const simulated_replica& replica) const
{
    if (pattern_ != load_pattern::changing_speeds || !features_.reported_speeds)
        return 0;
    return static_cast<std::uint32_t>(usual_speed * replica.momentary_slowness);
}

void experiment::arrive()
{
    if (now_ - experiment_start >= size_.length)
        return;
    const std::chrono::duration<double> gap{
        (0.2 + 1.6 * random_.unit()) / arrival_rate()};
    schedule(
        now_ + std::chrono::duration_cast<duration>(gap), [this] { arrive(); });
    auto& owner = draw_instance();
    const auto kind = draw_kind();
    const auto account = draw_account();
    const auto& properties = size_.kinds[kind];
    const forward_times times{
        now_,
        now_ + properties.target - milliseconds{7},
        now_ + properties.timeout - milliseconds{12},
        now_ + properties.timeout};
    const pinned_route route{config_, kind};
    client_account_ptr sender;
    if (!config_->accounts.empty())
        sender = {config_, &config_->accounts.accounts()[account]};
    const auto request = std::make_shared<simulated_request>(simulated_request{
        &owner,
        {route, route->shards, times, std::move(sender)},
        now_ - experiment_start >= warm_up});
    request->kind = kind;
    request->account = account;
    for (auto& shard_times : request_times_)
        shard_times.push_back(now_);
    request->repeats_left = size_.caller_repeats;
    request->first_arrived = now_;
    begin(request);
}

void experiment::begin(const request_ptr& request)
{
    auto& owner = *request->owner;
    forward_actions actions;
    reveal_state(request);
    request->state.begin(owner.context(), profile_of(*request), now_, actions);
    const auto* const phase = phase_of(*request);
    if (phase == &result_.fault && !request->state.shed()) {
        const auto period = static_cast<std::size_t>(
            (request->first_arrived - experiment_start - size_.length / 3 -
             settling_time) /
            admission_period);
        if (admitted_.size() <= period)
            admitted_.resize(period + 1);
        ++admitted_[period];
    }
    carry_out(request, actions);
}

void experiment::exchange_loads(std::size_t instance)
{
    if (now_ - experiment_start >= size_.length)
        return;
    auto& sender = *instances_[instance];
    std::vector<outgoing_message> messages;
    sender.load_exchange.poll(sender.fleet, now_, messages);
    for (const auto& each : messages) {
        if (random_.unit() < message_loss)
            continue;
        const auto to = static_cast<std::size_t>(std::stoul(each.to.substr(1)));
        schedule(
            now_ + network_delay,
            [this, to, message = std::get<load_reports>(each.message)] {
                instances_[to]->load_exchange.on_message(message, now_);
            });
    }
    schedule(now_ + load_shedder::adjust_interval, [this, instance] {
        exchange_loads(instance);
    });
}

phase_result* experiment::phase_of(const simulated_request& request)
{
    const auto third = size_.length / 3;
    const auto at = request.first_arrived - experiment_start;
    if (at >= third + settling_time && at < 2 * third)
        return &result_.fault;
    if (at >= third && at < third + settling_time)
        return &result_.onset;
    if (at >= 2 * third + recovery_time)
        return &result_.recovery;
    return nullptr;
}

void experiment::compute_admission_spread()
{
    if (admitted_.empty())
        return;
    const auto [smallest, largest] =
        std::minmax_element(admitted_.begin(), admitted_.end());
    const double mean =
        std::accumulate(admitted_.begin(), admitted_.end(), 0.0) /
        static_cast<double>(admitted_.size());
    result_.max_admitted = *largest / mean;
    result_.min_admitted = *smallest / mean;
}

void experiment::carry_out(const request_ptr& request, forward_actions& actions)
{
    for (const auto& sent : actions.sends)
        send(request, sent);
    if (actions.end) {
        finish(*request, *actions.end);
        return;
    }
    wake_up(request);
}

void experiment::wake_up(const request_ptr& request)
{
    if (request->state.ended())
        return;
    const auto due = std::max(request->state.next_wakeup(), now_);
    request->wakeup = due;
    schedule(due, [this, request, due] {
        if (request->state.ended())
            return;
        // The part that was due first may have been answered.
        if (request->state.next_wakeup() > due) {
            if (request->wakeup == due)
                wake_up(request);
            return;
        }
        forward_actions next;
        auto& owner = *request->owner;
        reveal_state(request);
        request->state.on_timeout(
            owner.context(), profile_of(*request), now_, next);
        carry_out(request, next);
    });
}

void experiment::record_extra_attempt(std::uint32_t shard)
{
    ++result_.extra_attempts;
    extra_attempt_times_[shard].push_back(now_);
    const auto count_in_window = [&](const std::vector<time_point>& times) {
        return times.end() -
               std::upper_bound(
                   times.begin(), times.end(), now_ - experiment_bounds.window);
    };
    const double allowed =
        experiment_bounds.ratio *
            static_cast<double>(count_in_window(request_times_[shard])) +
        experiment_bounds.burst_allowance;
    result_.max_excess = std::max(
        result_.max_excess,
        static_cast<double>(count_in_window(extra_attempt_times_[shard])) -
            allowed);
}

void experiment::send(const request_ptr& request, const forward_send& sent)
{
    if (sent.extra)
        record_extra_attempt(sent.part);
    request->state.on_written(sent.attempt);
    schedule(now_ + network_delay, [this, request, sent] {
        receive(request, sent.attempt, sent.to);
    });
}

void experiment::receive(
    const request_ptr& request, std::uint32_t attempt, std::uint32_t to)
{
    auto& replica = replicas_[to];
    ++replica.arrivals;
    ++result_.arrivals;
    const bool sheds = pattern_ == load_pattern::shedding && replica.faulty &&
                       is_fault_active() && random_.unit() < shed_probability;
    if (sheds || replica.waiting.size() >= size_.queue) {
        ++result_.rejected;
        const reported_load load{
            replica.running, 0, size_.slots, reported_speed(replica)};
        schedule(now_ + network_delay, [this, request, attempt, load] {
            on_result(request, attempt, forward_outcome::refused, load);
        });
        return;
    }
    if (replica.running < size_.slots)
        begin_work(request, attempt, replica);
    else
        replica.waiting.push_back([this, request, attempt, &replica] {
            begin_work(request, attempt, replica);
        });
}

void experiment::begin_work(
    const request_ptr& request,
    std::uint32_t attempt,
    simulated_replica& replica)
{
    ++replica.running;
    const auto until =
        end_of_work(replica, service_time(replica, request->kind));
    schedule(until, [this, request, attempt, &replica] {
        end_work(request, attempt, replica);
    });
}

void experiment::end_work(
    const request_ptr& request,
    std::uint32_t attempt,
    simulated_replica& replica)
{
    const bool lost = pattern_ == load_pattern::lost_answers &&
                      replica.faulty && is_fault_active() &&
                      random_.unit() < loss_probability;
    const reported_load load{
        replica.running,
        static_cast<std::uint32_t>(replica.waiting.size()),
        size_.slots,
        reported_speed(replica)};
    --replica.running;
    schedule(now_ + network_delay, [this, request, attempt, lost, load] {
        on_result(
            request,
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

void experiment::on_result(
    const request_ptr& request,
    std::uint32_t attempt,
    forward_outcome outcome,
    reported_load load)
{
    auto& owner = *request->owner;
    if (features_.load_feedback)
        owner.catalog.at(request->state.replica_of(attempt))
            .health.on_load(load, now_);
    forward_actions actions;
    request->state.on_result(
        attempt, outcome, owner.context(), profile_of(*request), now_, actions);
    if (!actions.sends.empty() || actions.end)
        carry_out(request, actions);
}

bool experiment::repeat(const simulated_request& request)
{
    const auto& state = request.state;
    auto times = state.times();
    times.arrived = now_ + repeat_delay;
    if (times.arrived >= times.answer_deadline)
        return false;
    const auto repeated = std::make_shared<simulated_request>(simulated_request{
        instances_[random_.below(instances_.size())].get(),
        {state.route(), state.route()->shards, times, state.account()},
        request.counted,
        request.repeats_left - 1,
        request.first_arrived,
        request.kind,
        request.account});
    schedule(times.arrived, [this, repeated] { begin(repeated); });
    return true;
}

void experiment::count(
    phase_result& phase,
    const simulated_request& request,
    forward_end end) const
{
    ++phase.requests;
    const auto in_time_until =
        request.first_arrived + size_.kinds[request.kind].target;
    if (end == forward_end::complete || end == forward_end::partial)
        ++(now_ <= in_time_until ? phase.in_time : phase.late);
    else if (end != forward_end::not_run)
        ++phase.failed;
    else {
        ++phase.refused;
        phase.slowest_refusal = std::max(
            phase.slowest_refusal, now_ - request.state.times().arrived);
    }
}

void experiment::finish(simulated_request& request, forward_end end)
{
    const bool unserved =
        end != forward_end::complete && end != forward_end::partial;
    if (unserved && request.repeats_left > 0 && repeat(request))
        return;
    if (!request.counted)
        return;
    if (auto* const phase = phase_of(request)) {
        count(*phase, request, end);
        if (phase == &result_.fault) {
            count(result_.fault_by_kind[request.kind], request, end);
            if (!config_->accounts.empty())
                count(result_.fault_by_account[request.account], request, end);
        }
        else if (phase == &result_.onset)
            count(result_.onset_by_kind[request.kind], request, end);
    }
    ++result_.requests;
    const auto& state = request.state;
    result_.latencies.push_back(
        unserved ? duration{size_.timeout} : now_ - request.first_arrived);
    const bool success =
        end == forward_end::complete || end == forward_end::partial;
    if (!success) {
        ++(end == forward_end::not_run ? result_.refused : result_.failed);
        return;
    }
    const double share =
        static_cast<double>(state.answered_parts()) / state.part_count();
    const bool in_time =
        now_ <= request.first_arrived + size_.kinds[request.kind].target;
    ++(in_time ? result_.in_time : result_.late);
    result_.parts += state.part_count();
    result_.omitted_parts += state.part_count() - state.answered_parts();
    result_.partial += end == forward_end::partial ? 1 : 0;
    total_value_ += share * share * (in_time ? 1.0 : late_value);
}

experiment_result experiment::run()
{
    schedule(experiment_start, [this] { arrive(); });
    if (pattern_ == load_pattern::changing_speeds)
        schedule(experiment_start, [this] { redraw_speeds(); });
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const auto offset = random_.below(static_cast<std::uint64_t>(
            duration{load_shedder::adjust_interval}.count()));
        schedule(experiment_start + duration{offset}, [this, i] {
            exchange_loads(i);
        });
    }
    while (!events_.empty()) {
        auto next = events_.top();
        events_.pop();
        now_ = next.at;
        next.action();
    }
    std::sort(result_.latencies.begin(), result_.latencies.end());
    std::uint32_t busiest = 0;
    for (const auto& replica : replicas_)
        busiest = std::max(busiest, replica.arrivals);
    const auto third = size_.length / 3;
    result_.fault.length = third - settling_time;
    result_.recovery.length = third - recovery_time;
    result_.onset.length = settling_time;
    for (auto& each : result_.fault_by_kind)
        each.length = result_.fault.length;
    for (auto& each : result_.onset_by_kind)
        each.length = settling_time;
    for (auto& each : result_.fault_by_account)
        each.length = result_.fault.length;
    compute_admission_spread();
    if (result_.arrivals > 0)
        result_.busiest_ratio = static_cast<double>(busiest) *
                                static_cast<double>(replicas_.size()) /
                                result_.arrivals;
    if (result_.requests > 0)
        result_.mean_value = total_value_ / result_.requests;
    return result_;
}

duration experiment_result::latency(double share) const
{
    if (latencies.empty())
        return {};
    const auto position =
        static_cast<std::size_t>(share * static_cast<double>(latencies.size()));
    return latencies[std::min(position, latencies.size() - 1)];
}

experiment_result run_forward_experiment(
    load_pattern pattern,
    const forward_features& features,
    std::uint64_t seed,
    const experiment_size& size)
{
    return experiment{pattern, features, seed, size}.run();
}

} // namespace peridotward
