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

/// Size of one message without its header.
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
    bundle made;
    made.version = 1;
    made.digest = std::string(64, 'd');
    for (std::uint32_t i = 0; i < shape.domains; ++i) {
        failure_domain domain;
        domain.id = numbered("d", i);
        domain.max_in_flight = shape.domain_limit;
        made.domains.push_back(domain);
    }
    for (std::uint32_t i = 0; i < shape.instances; ++i)
        made.instances.push_back(
            {numbered("n", i), domain_index{i % shape.domains}});
    for (std::uint32_t i = 0; i < shape.services; ++i) {
        service served;
        served.id = numbered("s", i);
        served.slots = shape.slots;
        served.connections = 25;
        served.cold_ramp = shape.cold_ramp;
        for (std::uint32_t k = 0; k < shape.replicas; ++k) {
            upstream replica;
            replica.id = served.id + numbered("r", k);
            replica.service = service_index{i};
            replica.domain = domain_index{k % shape.domains};
            served.upstreams.push_back(upstream_index{
                static_cast<std::uint32_t>(made.upstreams.size())});
            made.upstreams.push_back(replica);
        }
        made.services.push_back(served);
    }
    return made;
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

void fleet_simulation::at(duration when, std::function<void()> action)
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

time_point fleet_simulation::local(const slot& of) const
{
    const auto scaled =
        std::chrono::duration<double, std::nano>{now_} * of.rate;
    return time_point{
        epoch + of.offset + std::chrono::duration_cast<duration>(scaled)};
}

process* fleet_simulation::find(const std::string& instance_id)
{
    const auto found = slots_.find(instance_id);
    return found == slots_.end() ? nullptr : found->second.running.get();
}

std::vector<std::string> fleet_simulation::instances() const
{
    std::vector<std::string> all;
    for (const auto& configured : published_->instances)
        all.push_back(configured.id);
    return all;
}

void fleet_simulation::on_process(
    const std::string& instance_id,
    std::uint64_t life,
    duration when,
    std::function<void(process&, time_point)> action)
{
    at(when, [=, this, action = std::move(action)]() mutable {
        auto& there = slots_[instance_id];
        if (there.life != life || !there.running)
            return;
        if (there.paused_until > now_)
            on_process(
                instance_id, life, there.paused_until, std::move(action));
        else
            action(*there.running, local(there));
    });
}

void fleet_simulation::start(const std::string& instance_id)
{
    const auto index = published_->find_instance(instance_id);
    auto& here = slots_[instance_id];
    if (here.running || !index.valid())
        return;
    here.rate = 0.99 + 0.02 * random_.unit();
    here.offset = milliseconds{random_.below(100000)};
    here.paused_until = {};
    const auto life = ++here.life;
    member_update self;
    self.id = instance_id;
    self.incarnation = 1 + static_cast<std::uint64_t>(now_ / milliseconds{1});
    self.domain = published_->domains[0].id;
    self.peers = {"127.0.0.1", 4000};
    self.callers = {"127.0.0.1", 5000};
    here.running = std::make_unique<process>(self, local(here), random_.next());
    here.running->members.set_ready(true, local(here));
    accept(instance_id, published_);
    on_process(instance_id, life, now_, [=, this](process&, time_point) {
        wake(instance_id, life);
        offer_load(instance_id, life);
    });
}

void fleet_simulation::kill(const std::string& instance_id)
{
    auto& there = slots_[instance_id];
    ++there.life;
    there.running.reset();
}

void fleet_simulation::pause(const std::string& instance_id, duration span)
{
    slots_[instance_id].paused_until = now_ + span;
}

void fleet_simulation::split(std::uint32_t mask)
{
    part_of_.clear();
    std::uint32_t place = 0;
    for (const auto& [instance_id, state] : slots_)
        part_of_[instance_id] = (mask >> place++) & 1U;
}

void fleet_simulation::leave(const std::string& instance_id)
{
    auto* running = find(instance_id);
    if (running == nullptr)
        return;
    std::vector<outgoing_message> out;
    const auto now_there = local(slots_[instance_id]);
    running->members.leave(now_there, out);
    running->leases.release_all(now_there, out);
    carry(instance_id, out);
}

void fleet_simulation::make_cold(upstream_index upstream)
{
    auto& chilled = upstreams_[upstream.position()];
    chilled.cold = true;
    chilled.cold_told = false;
    chilled.warm_at = now_ + shape_.cold_ramp;
}

void fleet_simulation::publish(
    const std::function<void(bundle&)>& change, duration lag)
{
    auto newer = std::make_shared<bundle>(*published_);
    ++newer->version;
    change(*newer);
    published_ = newer;
    versions_.push_back(newer);
    for (auto& [instance_id, there] : slots_) {
        duration wait{
            random_.below(static_cast<std::uint64_t>(lag.count()) + 1)};
        // Some instances cannot read the configuration for a while.
        if (lag > seconds{1} && random_.below(5) == 0)
            wait += seconds{10};
        read_bundle(instance_id, there.life, now_ + wait, newer);
    }
}

void fleet_simulation::read_bundle(
    const std::string& instance_id,
    std::uint64_t life,
    duration when,
    const bundle_ptr& newer)
{
    on_process(instance_id, life, when, [=, this](process&, time_point) {
        // The configuration service stands in part 0 of a partition.
        if (part_of_[instance_id] == 0)
            accept(instance_id, newer);
        else
            read_bundle(instance_id, life, now_ + milliseconds{500}, newer);
    });
}

void fleet_simulation::accept(
    const std::string& instance_id, const bundle_ptr& newer)
{
    auto& there = slots_[instance_id];
    auto& running = *there.running;
    if (running.in_force && newer->version <= running.in_force->version)
        return;
    const auto now_there = local(there);
    running.in_force = newer;
    running.accepted_at.resize(newer->version + 1, now_);
    running.in_flight.resize(newer->upstreams.size());
    instance_list list;
    for (const auto& listed : newer->instances) {
        listed_instance entry;
        entry.id = listed.id;
        list.instances.push_back(entry);
    }
    running.members.on_list(list, now_there);
    running.members.on_configured_instances(*newer);
    running.members.set_config({newer->version, newer->digest, 1});
    running.leases.on_bundle(newer, now_there);
    running.budgets.on_bundle(newer, now_there);
    running.leases.on_members(running.members, now_there);
}

void fleet_simulation::carry(
    const std::string& from, std::vector<outgoing_message>& out)
{
    for (auto& message : out) {
        ++counts.messages;
        counts.bytes += message_bytes(message.message);
        const int copies = random_.unit() < links.doubled ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            deliver(from, message);
    }
    out.clear();
}

void fleet_simulation::deliver(
    const std::string& from, outgoing_message message)
{
    const auto found = slots_.find(message.to);
    const bool cut = part_of_[from] != part_of_[message.to];
    if (found == slots_.end() || cut || random_.unit() < links.loss)
        return;
    const auto jitter = static_cast<std::uint64_t>(links.jitter.count());
    const auto when = now_ + links.delay + duration{random_.below(jitter + 1)};
    const auto to = message.to;
    on_process(
        to,
        found->second.life,
        when,
        [=, this, content = std::move(message.message)](
            process& there, time_point now_there) {
            std::vector<outgoing_message> out;
            std::visit(
                [&](const auto& typed) {
                    using message_type = std::decay_t<decltype(typed)>;
                    if constexpr (
                        std::is_same_v<message_type, probe> ||
                        std::is_same_v<message_type, probe_ack> ||
                        std::is_same_v<message_type, probe_request>)
                        there.members.on_message(from, typed, now_there, out);
                    if constexpr (
                        std::is_same_v<message_type, lease_request> ||
                        std::is_same_v<message_type, lease_reply>)
                        there.leases.on_message(from, typed, now_there, out);
                },
                content);
            carry(to, out);
        });
}

void fleet_simulation::wake(const std::string& instance_id, std::uint64_t life)
{
    auto& there = slots_[instance_id];
    auto& running = *there.running;
    const auto now_there = local(there);
    std::vector<outgoing_message> out;
    running.members.on_timeout(now_there, out);
    running.leases.on_members(running.members, now_there);
    running.leases.on_timeout(now_there, running.budgets.busy(), out);
    carry(instance_id, out);
    const auto next =
        std::min(running.members.next_wakeup(), running.leases.next_wakeup());
    const auto wait = std::max<duration>(next - now_there, milliseconds{1});
    on_process(instance_id, life, now_ + wait, [=, this](process&, time_point) {
        wake(instance_id, life);
    });
}

void fleet_simulation::offer_load(
    const std::string& instance_id, std::uint64_t life)
{
    auto& running = *slots_[instance_id].running;
    const auto count = running.in_force->upstreams.size();
    for (std::uint32_t i = 0; i < count && load > 0; ++i) {
        if (random_.unit() < load)
            offer(instance_id, running, upstream_index{i});
    }
    on_process(
        instance_id,
        life,
        now_ + load_interval,
        [=, this](process&, time_point) { offer_load(instance_id, life); });
}

tl::expected<budget_grant, budget_refusal>
fleet_simulation::ask(process& by, upstream_index upstream, time_point now)
{
    if (rule == send_rule::leases)
        return by.budgets.try_begin(
            upstream, caller_priority::normal, false, now);
    std::uint32_t sharers = 1;
    for (const auto& [instance_id, known] : by.members.members())
        sharers += known.latest_update.state == member_state::alive ? 1 : 0;
    const auto slots = by.in_force->service_of(upstream).slots;
    const auto share = rule == send_rule::static_shares
                           ? std::max(1U, slots / sharers)
                           : slots;
    if (!by.in_force->admits(upstream))
        return tl::unexpected{budget_refusal::removed};
    if (by.in_flight[upstream.position()] >= share)
        return tl::unexpected{budget_refusal::no_slot};
    ++by.in_flight[upstream.position()];
    return budget_grant{
        resource_of(by.in_force->at(upstream)), {}, now + seconds{2}};
}

void fleet_simulation::offer(
    const std::string& instance_id, process& by, upstream_index to)
{
    const auto now_there = local(slots_[instance_id]);
    const auto granted = ask(by, to, now_there);
    if (!granted)
        return;
    const auto budget =
        std::min<duration>(granted->latest_end - now_there, request_time);
    const duration work =
        random_.unit() < stuck ? budget : milliseconds{1 + random_.below(20)};
    check_removal(by, to);
    const auto target = by.in_force->at(to).id;
    const auto index = published_->find_upstream(target);
    const bool cold_known = upstreams_[index.position()].cold_told;
    const auto grant = *granted;
    at(now_ + links.delay, [=, this] {
        arrive(instance_id, index, grant, {work, budget, cold_known});
    });
}

void fleet_simulation::arrive(
    const std::string& instance_id,
    upstream_index upstream,
    const budget_grant& granted,
    const request_plan& plan)
{
    ++counts.sent;
    auto& there = upstreams_[upstream.position()];
    const auto domain = published_->at(upstream).domain.position();
    const auto& limits = published_->service_of(upstream);
    if (there.cold && now_ >= there.warm_at)
        there.cold = false;
    const bool cold_known = there.cold && plan.cold_known;
    const auto limit = cold_known ? limits.cold_slots : limits.slots;
    if (there.in_flight >= limit)
        note(
            published_->at(upstream).id + " above its " +
            (cold_known ? "cold slots" : "slots"));
    const auto domain_limit = published_->domains[domain].max_in_flight;
    if (domain_limit > 0 && domain_in_flight_[domain] >= domain_limit)
        note(published_->domains[domain].id + " above its limit");
    ++there.in_flight;
    ++domain_in_flight_[domain];
    const auto work = plan.work;
    const bool answers = work < plan.budget;
    const auto end = now_ + std::min(work, plan.budget);
    const auto life = slots_[instance_id].life;
    at(end, [=, this] {
        auto& state = upstreams_[upstream.position()];
        --state.in_flight;
        --domain_in_flight_[domain];
        upstream_report report;
        report.phase = state.cold ? upstream_phase::cold : upstream_phase::warm;
        const auto outcome =
            answers ? attempt_outcome::answered : attempt_outcome::timed_out;
        const auto heard = end + links.delay +
                           (answers ? duration{} : duration{milliseconds{150}});
        on_process(
            instance_id, life, heard, [=, this](process& by, time_point now) {
                if (rule == send_rule::leases)
                    by.budgets.on_end(granted, outcome, report, work, now);
                else
                    --by.in_flight[upstream.position()];
                if (report.phase == upstream_phase::cold && answers)
                    upstreams_[upstream.position()].cold_told = true;
            });
    });
}

void fleet_simulation::check_removal(const process& by, upstream_index upstream)
{
    const auto& id = by.in_force->at(upstream).id;
    for (auto version = by.in_force->version + 1; version < versions_.size();
         ++version) {
        const auto& newer = *versions_[version];
        const auto there = newer.find_upstream(id);
        if (!there.valid() || newer.admits(there))
            continue;
        const auto voters = voters_of(newer, there);
        std::size_t accepted = 0;
        for (const auto voter_index : voters.ranked()) {
            const auto* voter =
                find(newer.instances[voter_index.position()].id);
            const bool told =
                voter != nullptr && version < voter->accepted_at.size() &&
                now_ - voter->accepted_at[version] > removal_bound;
            accepted += told ? 1 : 0;
        }
        if (accepted >= voters.majority())
            note("work for " + id + " after its removal");
    }
}

void fleet_simulation::note(const std::string& text)
{
    ++counts.limit_violations;
    if (violations.size() < 10)
        violations.push_back({text, now_});
}

std::uint32_t fleet_simulation::holders_of(upstream_index upstream) const
{
    std::uint32_t holders = 0;
    for (const auto& [instance_id, there] : slots_) {
        if (there.running && there.paused_until <= now_ &&
            there.running->leases.holds(upstream, local(there)))
            ++holders;
    }
    return holders;
}

std::string fleet_simulation::unrecovered() const
{
    for (std::uint32_t i = 0; i < published_->upstreams.size(); ++i) {
        const upstream_index upstream{i};
        if (!published_->admits(upstream))
            continue;
        const auto holders = holders_of(upstream);
        if (holders != 1)
            return published_->upstreams[i].id + " has " +
                   std::to_string(holders) + " holders";
        for (const auto& [instance_id, there] : slots_) {
            if (!there.running)
                continue;
            const auto shown =
                there.running->budgets.view(upstream, local(there));
            if (shown.limit > 0 && shown.limit < shown.slots)
                return published_->upstreams[i].id + " has only " +
                       std::to_string(shown.limit) + " slots in use, " +
                       std::string{name_of(shown.warmth)};
        }
    }
    return {};
}

} // namespace peridotward::fleet_test
