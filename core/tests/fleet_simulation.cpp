#include "fleet_simulation.hpp"

#include <algorithm>
#include <variant>

namespace peridotward::fleet_test {

namespace {

constexpr duration load_interval = milliseconds{5};
constexpr duration epoch = std::chrono::hours{1000};
constexpr duration removal_bound = milliseconds{3000};
constexpr duration request_time = milliseconds{500};

std::string numbered(const char* prefix, std::uint32_t number)
{
    return prefix + std::to_string(number);
}

std::size_t size_of(const config_summary& config)
{
    return 28 + config.digest.size();
}

std::size_t size_of(const std::vector<member_update>& updates)
{
    std::size_t bytes = 9;
    for (const auto& update : updates)
        bytes += 75 + update.id.size() + update.domain.size() +
                 update.peers.host.size() + update.callers.host.size();
    return bytes;
}

/// Computes the size of one message without its header.
struct sizer
{
    std::size_t operator()(const probe& m) const
    {
        return 24 + m.on_behalf_of.size() + size_of(m.config) +
               size_of(m.updates);
    }
    std::size_t operator()(const probe_ack& m) const
    {
        return 24 + m.on_behalf_of.size() + size_of(m.config) +
               size_of(m.updates);
    }
    std::size_t operator()(const probe_request& m) const
    {
        return 24 + m.target.size();
    }
    std::size_t operator()(const lease_request& m) const
    {
        return 55 + 9 * (m.wanted.size() + m.released.size());
    }
    std::size_t operator()(const lease_reply& m) const
    {
        return 55 + 9 * (m.granted.size() + m.held.size());
    }
    template<class Message>
    std::size_t operator()(const Message&) const
    {
        return 0;
    }
};

} // namespace

std::size_t message_bytes(const peer_message& message)
{
    constexpr std::size_t header = 16; // kind and WebSocket header
    return header + std::visit(sizer{}, message);
}

bundle make_bundle(const fleet_shape& shape)
{
    bundle built;
    built.version = 1;
    built.digest = std::string(64, 'd');
    for (std::uint32_t i = 0; i < shape.domains; ++i) {
        failure_domain domain;
        domain.id = numbered("d", i);
        domain.max_in_flight = shape.domain_limit;
        built.domains.push_back(domain);
    }
    for (std::uint32_t i = 0; i < shape.instances; ++i)
        built.instances.push_back(
            {numbered("n", i), domain_index{i % shape.domains}});
    for (std::uint32_t i = 0; i < shape.services; ++i) {
        service added;
        added.id = numbered("s", i);
        added.slots = shape.slots;
        added.connections = 25;
        added.cold_ramp = shape.cold_ramp;
        for (std::uint32_t k = 0; k < shape.replicas; ++k) {
            upstream replica;
            replica.id = added.id + numbered("r", k);
            replica.service = service_index{i};
            replica.domain = domain_index{k % shape.domains};
            added.upstreams.push_back(upstream_index{
                static_cast<std::uint32_t>(built.upstreams.size())});
            built.upstreams.push_back(replica);
        }
        built.services.push_back(added);
    }
    return built;
}

process::process(member_update self, time_point local_start, std::uint64_t seed)
    : members{self, seed},
      leases{self.id, self.incarnation, local_start, seed + 1},
      budgets{leases}
{}

fleet_simulation::fleet_simulation(const fleet_shape& shape, std::uint64_t seed)
    : shape_{shape}, random_{seed}
{
    published_ = std::make_shared<bundle>(make_bundle(shape));
    versions_ = {nullptr, published_};
    upstreams_.resize(published_->upstreams.size());
    domain_in_flight_.resize(published_->domains.size());
    for (const auto& configured : published_->instances)
        start(configured.id);
}

void fleet_simulation::schedule(duration when, std::function<void()> action)
{
    events_.push({when, ++order_, std::move(action)});
}

void fleet_simulation::run_for(duration span)
{
    const auto end = now_ + span;
    while (!events_.empty() && events_.top().at <= end) {
        auto next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at);
        next.action();
    }
    now_ = end;
}

time_point fleet_simulation::local(const simulated_machine& machine) const
{
    const auto scaled =
        std::chrono::duration<double, std::nano>{now_} * machine.rate;
    return time_point{
        epoch + machine.offset + std::chrono::duration_cast<duration>(scaled)};
}

process* fleet_simulation::find(const std::string& instance_id)
{
    const auto found = machines_.find(instance_id);
    return found == machines_.end() ? nullptr : found->second.running.get();
}

std::vector<std::string> fleet_simulation::instances() const
{
    std::vector<std::string> all;
    for (const auto& configured : published_->instances)
        all.push_back(configured.id);
    return all;
}

void fleet_simulation::run_on_process(
    const std::string& instance_id,
    std::uint64_t generation,
    duration when,
    std::function<void(process&, time_point)> action)
{
    schedule(when, [=, this, action = std::move(action)]() mutable {
        auto& machine = machines_[instance_id];
        if (machine.generation != generation || !machine.running)
            return;
        if (machine.paused_until > now_)
            run_on_process(
                instance_id,
                generation,
                machine.paused_until,
                std::move(action));
        else
            action(*machine.running, local(machine));
    });
}

void fleet_simulation::start(const std::string& instance_id)
{
    const auto index = published_->find_instance(instance_id);
    auto& machine = machines_[instance_id];
    if (machine.running || !index.valid())
        return;
    machine.rate = 0.99 + 0.02 * random_.unit();
    machine.offset = milliseconds{random_.below(100000)};
    machine.paused_until = {};
    const auto generation = ++machine.generation;
    member_update self;
    self.id = instance_id;
    self.incarnation = 1 + static_cast<std::uint64_t>(now_ / milliseconds{1});
    self.domain = published_->domains[0].id;
    self.peers = {"127.0.0.1", 4000};
    self.callers = {"127.0.0.1", 5000};
    machine.running =
        std::make_unique<process>(self, local(machine), random_.next());
    machine.running->members.set_ready(true, local(machine));
    apply_bundle(instance_id, published_);
    run_on_process(
        instance_id, generation, now_, [=, this](process&, time_point) {
            run_timers(instance_id, generation);
            generate_load(instance_id, generation);
        });
}

void fleet_simulation::kill(const std::string& instance_id)
{
    auto& machine = machines_[instance_id];
    ++machine.generation;
    machine.running.reset();
}

void fleet_simulation::pause(const std::string& instance_id, duration span)
{
    machines_[instance_id].paused_until = now_ + span;
}

void fleet_simulation::split(std::uint32_t mask)
{
    side_of_.clear();
    std::uint32_t position = 0;
    for (const auto& [instance_id, state] : machines_)
        side_of_[instance_id] = (mask >> position++) & 1U;
}

void fleet_simulation::leave(const std::string& instance_id)
{
    auto* running = find(instance_id);
    if (running == nullptr)
        return;
    std::vector<outgoing_message> out;
    const auto local_now = local(machines_[instance_id]);
    running->members.leave(local_now, out);
    running->leases.release_all(local_now, out);
    send_all(instance_id, out);
}

void fleet_simulation::make_cold(upstream_index upstream)
{
    auto& cooled = upstreams_[upstream.position()];
    cooled.cold = true;
    cooled.cold_reported = false;
    cooled.warm_at = now_ + shape_.cold_ramp;
}

void fleet_simulation::publish(
    const std::function<void(bundle&)>& change, duration lag)
{
    auto newer = std::make_shared<bundle>(*published_);
    ++newer->version;
    change(*newer);
    published_ = newer;
    versions_.push_back(newer);
    for (auto& [instance_id, machine] : machines_) {
        duration wait{
            random_.below(static_cast<std::uint64_t>(lag.count()) + 1)};
        // One instance in five cannot read the configuration for 10 s.
        if (lag > seconds{1} && random_.below(5) == 0)
            wait += seconds{10};
        read_bundle(instance_id, machine.generation, now_ + wait, newer);
    }
}

void fleet_simulation::read_bundle(
    const std::string& instance_id,
    std::uint64_t generation,
    duration when,
    const bundle_ptr& newer)
{
    run_on_process(
        instance_id, generation, when, [=, this](process&, time_point) {
            // The configuration service is on side 0 of a partition.
            if (side_of_[instance_id] == 0)
                apply_bundle(instance_id, newer);
            else
                read_bundle(
                    instance_id, generation, now_ + milliseconds{500}, newer);
        });
}

void fleet_simulation::apply_bundle(
    const std::string& instance_id, const bundle_ptr& newer)
{
    auto& machine = machines_[instance_id];
    auto& running = *machine.running;
    if (running.in_force && newer->version <= running.in_force->version)
        return;
    const auto local_now = local(machine);
    running.in_force = newer;
    running.accepted_at.resize(newer->version + 1, now_);
    running.in_flight.resize(newer->upstreams.size());
    instance_list list;
    for (const auto& listed : newer->instances) {
        listed_instance entry;
        entry.id = listed.id;
        list.instances.push_back(entry);
    }
    running.members.on_list(list, local_now);
    running.members.on_configured_instances(*newer);
    running.members.set_config({newer->version, newer->digest, 1});
    running.leases.on_bundle(newer, local_now);
    running.budgets.on_bundle(newer, local_now);
    running.leases.on_members(running.members, local_now);
}

void fleet_simulation::send_all(
    const std::string& from, std::vector<outgoing_message>& out)
{
    for (auto& message : out) {
        ++counts.messages;
        counts.bytes += message_bytes(message.message);
        const int copies = random_.unit() < links.duplication ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            deliver(from, message);
    }
    out.clear();
}

void fleet_simulation::deliver(
    const std::string& from, outgoing_message message)
{
    const auto found = machines_.find(message.to);
    const bool is_partitioned = side_of_[from] != side_of_[message.to];
    if (found == machines_.end() || is_partitioned ||
        random_.unit() < links.loss)
        return;
    const auto jitter = static_cast<std::uint64_t>(links.jitter.count());
    const auto when = now_ + links.delay + duration{random_.below(jitter + 1)};
    const auto to = message.to;
    run_on_process(
        to,
        found->second.generation,
        when,
        [=, this, content = std::move(message.message)](
            process& receiver, time_point local_now) {
            std::vector<outgoing_message> out;
            std::visit(
                [&](const auto& typed) {
                    using message_type = std::decay_t<decltype(typed)>;
                    if constexpr (
                        std::is_same_v<message_type, probe> ||
                        std::is_same_v<message_type, probe_ack> ||
                        std::is_same_v<message_type, probe_request>)
                        receiver.members.on_message(
                            from, typed, local_now, out);
                    if constexpr (
                        std::is_same_v<message_type, lease_request> ||
                        std::is_same_v<message_type, lease_reply>)
                        receiver.leases.on_message(from, typed, local_now, out);
                },
                content);
            send_all(to, out);
        });
}

void fleet_simulation::run_timers(
    const std::string& instance_id, std::uint64_t generation)
{
    auto& machine = machines_[instance_id];
    auto& running = *machine.running;
    const auto local_now = local(machine);
    std::vector<outgoing_message> out;
    running.members.on_timeout(local_now, out);
    running.leases.on_members(running.members, local_now);
    running.leases.on_timeout(local_now, running.budgets.busy(), out);
    send_all(instance_id, out);
    const auto next =
        std::min(running.members.next_wakeup(), running.leases.next_wakeup());
    const auto wait = std::max<duration>(next - local_now, milliseconds{1});
    run_on_process(
        instance_id, generation, now_ + wait, [=, this](process&, time_point) {
            run_timers(instance_id, generation);
        });
}

void fleet_simulation::generate_load(
    const std::string& instance_id, std::uint64_t generation)
{
    auto& running = *machines_[instance_id].running;
    const auto count = running.in_force->upstreams.size();
    for (std::uint32_t i = 0; i < count && load > 0; ++i) {
        if (random_.unit() < load)
            try_send(instance_id, running, upstream_index{i});
    }
    run_on_process(
        instance_id,
        generation,
        now_ + load_interval,
        [=, this](process&, time_point) {
            generate_load(instance_id, generation);
        });
}

tl::expected<budget_grant, budget_refusal> fleet_simulation::try_acquire(
    process& sender, upstream_index upstream, time_point now)
{
    if (rule == send_rule::leases)
        return sender.budgets.try_begin(
            upstream, caller_priority::normal, false, now);
    std::uint32_t sharers = 1;
    for (const auto& [instance_id, known] : sender.members.members())
        sharers += known.latest_update.state == member_state::alive ? 1 : 0;
    const auto slots = sender.in_force->service_of(upstream).slots;
    const auto share = rule == send_rule::static_shares
                           ? std::max(1U, slots / sharers)
                           : slots;
    if (!sender.in_force->admits(upstream))
        return tl::unexpected{budget_refusal::removed};
    if (sender.in_flight[upstream.position()] >= share)
        return tl::unexpected{budget_refusal::no_slot};
    ++sender.in_flight[upstream.position()];
    return budget_grant{
        resource_of(sender.in_force->at(upstream)), {}, now + seconds{2}};
}

void fleet_simulation::try_send(
    const std::string& instance_id, process& sender, upstream_index target)
{
    const auto local_now = local(machines_[instance_id]);
    const auto granted = try_acquire(sender, target, local_now);
    if (!granted)
        return;
    const auto budget =
        std::min<duration>(granted->latest_end - local_now, request_time);
    const duration processing_time =
        random_.unit() < stuck ? budget : milliseconds{1 + random_.below(20)};
    check_removal(sender, target);
    const auto upstream_id = sender.in_force->at(target).id;
    const auto index = published_->find_upstream(upstream_id);
    const bool cold_known = upstreams_[index.position()].cold_reported;
    const auto grant = *granted;
    schedule(now_ + links.delay, [=, this] {
        on_arrival(
            instance_id, index, grant, {processing_time, budget, cold_known});
    });
}

void fleet_simulation::on_arrival(
    const std::string& instance_id,
    upstream_index upstream,
    const budget_grant& granted,
    const request_plan& plan)
{
    ++counts.sent;
    auto& target = upstreams_[upstream.position()];
    const auto domain = published_->at(upstream).domain.position();
    const auto& limits = published_->service_of(upstream);
    if (target.cold && now_ >= target.warm_at)
        target.cold = false;
    const bool cold_known = target.cold && plan.cold_known;
    const auto limit = cold_known ? limits.cold_slots : limits.slots;
    if (target.in_flight >= limit)
        add_violation(
            published_->at(upstream).id + " above its " +
            (cold_known ? "cold slots" : "slots"));
    const auto domain_limit = published_->domains[domain].max_in_flight;
    if (domain_limit > 0 && domain_in_flight_[domain] >= domain_limit)
        add_violation(published_->domains[domain].id + " above its limit");
    ++target.in_flight;
    ++domain_in_flight_[domain];
    const auto processing_time = plan.processing_time;
    const bool answers = processing_time < plan.budget;
    const auto end = now_ + std::min(processing_time, plan.budget);
    const auto generation = machines_[instance_id].generation;
    schedule(end, [=, this] {
        auto& state = upstreams_[upstream.position()];
        --state.in_flight;
        --domain_in_flight_[domain];
        upstream_report report;
        report.phase = state.cold ? upstream_phase::cold : upstream_phase::warm;
        const auto outcome =
            answers ? attempt_outcome::answered : attempt_outcome::timed_out;
        const auto report_time =
            end + links.delay +
            (answers ? duration{} : duration{milliseconds{150}});
        run_on_process(
            instance_id,
            generation,
            report_time,
            [=, this](process& sender, time_point now) {
                if (rule == send_rule::leases)
                    sender.budgets.on_end(
                        granted, outcome, report, processing_time, now);
                else
                    --sender.in_flight[upstream.position()];
                if (report.phase == upstream_phase::cold && answers)
                    upstreams_[upstream.position()].cold_reported = true;
            });
    });
}

void fleet_simulation::check_removal(
    const process& sender, upstream_index upstream)
{
    const auto& id = sender.in_force->at(upstream).id;
    for (auto version = sender.in_force->version + 1;
         version < versions_.size();
         ++version) {
        const auto& newer = *versions_[version];
        const auto index = newer.find_upstream(id);
        if (!index.valid() || newer.admits(index))
            continue;
        const auto voters = voters_of(newer, index);
        std::size_t accepted = 0;
        for (const auto voter_index : voters.ranked()) {
            const auto* voter =
                find(newer.instances[voter_index.position()].id);
            const bool after_bound =
                voter != nullptr && version < voter->accepted_at.size() &&
                now_ - voter->accepted_at[version] > removal_bound;
            accepted += after_bound ? 1 : 0;
        }
        if (accepted >= voters.majority())
            add_violation("request to " + id + " after its removal");
    }
}

void fleet_simulation::add_violation(const std::string& text)
{
    ++counts.limit_violations;
    if (violations.size() < 10)
        violations.push_back({text, now_});
}

std::uint32_t fleet_simulation::holders_of(upstream_index upstream) const
{
    std::uint32_t holders = 0;
    for (const auto& [instance_id, machine] : machines_) {
        if (machine.running && machine.paused_until <= now_ &&
            machine.running->leases.holds(upstream, local(machine)))
            ++holders;
    }
    return holders;
}

std::string fleet_simulation::recovery_problem() const
{
    for (std::uint32_t i = 0; i < published_->upstreams.size(); ++i) {
        const upstream_index upstream{i};
        if (!published_->admits(upstream))
            continue;
        const auto holders = holders_of(upstream);
        if (holders != 1)
            return published_->upstreams[i].id + " has " +
                   std::to_string(holders) + " holders";
        for (const auto& [instance_id, machine] : machines_) {
            if (!machine.running)
                continue;
            const auto view =
                machine.running->budgets.view(upstream, local(machine));
            if (view.limit > 0 && view.limit < view.slots)
                return published_->upstreams[i].id + " has only " +
                       std::to_string(view.limit) + " slots in use, " +
                       std::string{name_of(view.warmup)};
        }
    }
    return {};
}

} // namespace peridotward::fleet_test
