#include "fleet_world.hpp"

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
    for (std::uint32_t i = 0; i < shape.seats; ++i)
        made.seats.push_back(
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

fleet_world::fleet_world(const fleet_shape& shape, std::uint64_t seed)
    : shape_{shape}, random_{seed}
{
    published_ = std::make_shared<bundle>(make_bundle(shape));
    versions_ = {nullptr, published_};
    upstreams_.resize(published_->upstreams.size());
    domain_in_flight_.resize(published_->domains.size());
    for (const auto& seat : published_->seats)
        start(seat.id);
}

void fleet_world::at(duration when, std::function<void()> action)
{
    events_.push({when, ++order_, std::move(action)});
}

void fleet_world::run_for(duration span)
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

time_point fleet_world::local(const slot& of) const
{
    const auto scaled =
        std::chrono::duration<double, std::nano>{now_} * of.rate;
    return time_point{
        epoch + of.offset + std::chrono::duration_cast<duration>(scaled)};
}

process* fleet_world::find(const std::string& seat)
{
    const auto found = slots_.find(seat);
    return found == slots_.end() ? nullptr : found->second.running.get();
}

std::vector<std::string> fleet_world::seats() const
{
    std::vector<std::string> all;
    for (const auto& seat : published_->seats)
        all.push_back(seat.id);
    return all;
}

void fleet_world::on_process(
    const std::string& seat,
    std::uint64_t life,
    duration when,
    std::function<void(process&, time_point)> action)
{
    at(when, [=, this, action = std::move(action)]() mutable {
        auto& there = slots_[seat];
        if (there.life != life || !there.running)
            return;
        if (there.paused_until > now_)
            on_process(seat, life, there.paused_until, std::move(action));
        else
            action(*there.running, local(there));
    });
}

void fleet_world::start(const std::string& seat)
{
    const auto index = published_->find_seat(seat);
    auto& here = slots_[seat];
    if (here.running || !index.valid())
        return;
    here.rate = 0.99 + 0.02 * random_.unit();
    here.offset = milliseconds{random_.below(100000)};
    here.paused_until = {};
    const auto life = ++here.life;
    member_update self;
    self.id = seat;
    self.incarnation = 1 + static_cast<std::uint64_t>(now_ / milliseconds{1});
    self.domain = published_->domains[0].id;
    self.peers = {"127.0.0.1", 4000};
    self.callers = {"127.0.0.1", 5000};
    here.running = std::make_unique<process>(self, local(here), random_.next());
    here.running->members.set_ready(true, local(here));
    accept(seat, published_);
    on_process(seat, life, now_, [=, this](process&, time_point) {
        wake(seat, life);
        offer_load(seat, life);
    });
}

void fleet_world::kill(const std::string& seat)
{
    auto& there = slots_[seat];
    ++there.life;
    there.running.reset();
}

void fleet_world::pause(const std::string& seat, duration span)
{
    slots_[seat].paused_until = now_ + span;
}

void fleet_world::split(std::uint32_t mask)
{
    part_of_.clear();
    std::uint32_t place = 0;
    for (const auto& [seat, state] : slots_)
        part_of_[seat] = (mask >> place++) & 1U;
}

void fleet_world::leave(const std::string& seat)
{
    auto* running = find(seat);
    if (running == nullptr)
        return;
    std::vector<outgoing> out;
    const auto now_there = local(slots_[seat]);
    running->members.leave(now_there, out);
    running->leases.release_all(now_there, out);
    carry(seat, out);
}

void fleet_world::chill(upstream_index upstream)
{
    auto& chilled = upstreams_[upstream.position()];
    chilled.cold = true;
    chilled.cold_told = false;
    chilled.warm_at = now_ + shape_.cold_ramp;
}

void fleet_world::publish(
    const std::function<void(bundle&)>& change, duration lag)
{
    auto newer = std::make_shared<bundle>(*published_);
    ++newer->version;
    change(*newer);
    published_ = newer;
    versions_.push_back(newer);
    for (auto& [seat, there] : slots_) {
        duration wait{
            random_.below(static_cast<std::uint64_t>(lag.count()) + 1)};
        // Some instances cannot read the configuration for a while.
        if (lag > seconds{1} && random_.below(5) == 0)
            wait += seconds{10};
        read_bundle(seat, there.life, now_ + wait, newer);
    }
}

void fleet_world::read_bundle(
    const std::string& seat,
    std::uint64_t life,
    duration when,
    const bundle_ptr& newer)
{
    on_process(seat, life, when, [=, this](process&, time_point) {
        // The configuration service stands in part 0 of a partition.
        if (part_of_[seat] == 0)
            accept(seat, newer);
        else
            read_bundle(seat, life, now_ + milliseconds{500}, newer);
    });
}

void fleet_world::accept(const std::string& seat, const bundle_ptr& newer)
{
    auto& there = slots_[seat];
    auto& running = *there.running;
    if (running.in_force && newer->version <= running.in_force->version)
        return;
    const auto now_there = local(there);
    running.in_force = newer;
    running.accepted_at.resize(newer->version + 1, now_);
    running.in_flight.resize(newer->upstreams.size());
    instance_list list;
    for (const auto& listed : newer->seats) {
        listed_instance entry;
        entry.id = listed.id;
        list.instances.push_back(entry);
    }
    running.members.on_list(list, now_there);
    running.members.on_seats(*newer);
    running.members.set_config({newer->version, newer->digest, 1});
    running.leases.on_bundle(newer, now_there);
    running.budgets.on_bundle(newer, now_there);
    running.leases.on_members(running.members, now_there);
}

void fleet_world::carry(const std::string& from, std::vector<outgoing>& out)
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

void fleet_world::deliver(const std::string& from, outgoing message)
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
            std::vector<outgoing> out;
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

void fleet_world::wake(const std::string& seat, std::uint64_t life)
{
    auto& there = slots_[seat];
    auto& running = *there.running;
    const auto now_there = local(there);
    std::vector<outgoing> out;
    running.members.on_timeout(now_there, out);
    running.leases.on_members(running.members, now_there);
    running.leases.on_timeout(now_there, running.budgets.busy(), out);
    carry(seat, out);
    const auto next =
        std::min(running.members.next_wakeup(), running.leases.next_wakeup());
    const auto wait = std::max<duration>(next - now_there, milliseconds{1});
    on_process(seat, life, now_ + wait, [=, this](process&, time_point) {
        wake(seat, life);
    });
}

void fleet_world::offer_load(const std::string& seat, std::uint64_t life)
{
    auto& running = *slots_[seat].running;
    const auto count = running.in_force->upstreams.size();
    for (std::uint32_t i = 0; i < count && load > 0; ++i) {
        if (random_.unit() < load)
            offer(seat, running, upstream_index{i});
    }
    on_process(
        seat, life, now_ + load_interval, [=, this](process&, time_point) {
            offer_load(seat, life);
        });
}

tl::expected<budget_grant, budget_refusal>
fleet_world::ask(process& by, upstream_index upstream, time_point now)
{
    if (rule == send_rule::leases)
        return by.budgets.try_begin(
            upstream, caller_priority::normal, false, now);
    std::uint32_t sharers = 1;
    for (const auto& [seat, known] : by.members.members())
        sharers += known.belief.state == member_state::alive ? 1 : 0;
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

void fleet_world::offer(const std::string& seat, process& by, upstream_index to)
{
    const auto now_there = local(slots_[seat]);
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
        arrive(seat, index, grant, {work, budget, cold_known});
    });
}

void fleet_world::arrive(
    const std::string& seat,
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
    const auto life = slots_[seat].life;
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
        on_process(seat, life, heard, [=, this](process& by, time_point now) {
            if (rule == send_rule::leases)
                by.budgets.on_end(granted, outcome, report, work, now);
            else
                --by.in_flight[upstream.position()];
            if (report.phase == upstream_phase::cold && answers)
                upstreams_[upstream.position()].cold_told = true;
        });
    });
}

void fleet_world::check_removal(const process& by, upstream_index upstream)
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
        for (const auto seat : voters.ranked()) {
            const auto* voter = find(newer.seats[seat.position()].id);
            const bool told =
                voter != nullptr && version < voter->accepted_at.size() &&
                now_ - voter->accepted_at[version] > removal_bound;
            accepted += told ? 1 : 0;
        }
        if (accepted >= voters.majority())
            note("work for " + id + " after its removal");
    }
}

void fleet_world::note(const std::string& text)
{
    ++counts.over;
    if (violations.size() < 10)
        violations.push_back({text, now_});
}

std::uint32_t fleet_world::holders_of(upstream_index upstream) const
{
    std::uint32_t holders = 0;
    for (const auto& [seat, there] : slots_) {
        if (there.running && there.paused_until <= now_ &&
            there.running->leases.holds(upstream, local(there)))
            ++holders;
    }
    return holders;
}

std::string fleet_world::unrecovered() const
{
    for (std::uint32_t i = 0; i < published_->upstreams.size(); ++i) {
        const upstream_index upstream{i};
        if (!published_->admits(upstream))
            continue;
        const auto holders = holders_of(upstream);
        if (holders != 1)
            return published_->upstreams[i].id + " has " +
                   std::to_string(holders) + " holders";
        for (const auto& [seat, there] : slots_) {
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
