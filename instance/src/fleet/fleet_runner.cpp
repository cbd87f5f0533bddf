#include "fleet/fleet_runner.hpp"
#include "log.hpp"

namespace peridotward {

namespace {

constexpr milliseconds tick_interval{20};

/// Names of the counters of sent messages, by their type.
constexpr std::array<std::string_view, std::variant_size_v<peer_message>>
    sent_counters{
        "peer_sent_probe",
        "peer_sent_probe_ack",
        "peer_sent_probe_request",
        "peer_sent_lease_request",
        "peer_sent_lease_reply",
        "peer_sent_sub_request",
        "peer_sent_sub_cancel",
        "peer_sent_sub_reply",
        "peer_sent_record_request",
        "peer_sent_record_reply",
        "peer_sent_upstream_news",
        "peer_sent_config_fetch",
        "peer_sent_config_part",
    };

member_update
self_of(const settings& configured, incarnation_number incarnation)
{
    member_update self;
    self.id = configured.instance.id;
    self.incarnation = incarnation;
    self.domain = configured.instance.domain;
    self.peers = configured.peers.address;
    self.callers = configured.callers.address;
    return self;
}

incarnation_number incarnation_of(const instance_state& state)
{
    return static_cast<incarnation_number>(
        state.loop.wall().time_since_epoch().count());
}

std::string link_key(const settings& configured)
{
    const auto& file = configured.peers.key_file;
    if (file.empty()) {
        log_event(log_level::warn, "peers_unauthenticated");
        return {};
    }
    auto key = read_file(file);
    if (!key)
        log_event(
            log_level::error,
            "peers_key_unreadable",
            {{"reason", key.error().message}});
    return std::move(key).value_or(std::string{});
}

} // namespace

fleet_runner::fleet_runner(instance_state& state)
    : state_{&state},
      incarnation_{incarnation_of(state)},
      members_{self_of(state.configured, incarnation_), state.random.next()},
      leases_{
          state.configured.instance.id,
          incarnation_,
          state.loop.now(),
          state.random.next()},
      budgets_{leases_},
      link_{link_options(), link_events()}
{
    on<probe>([this](const peer_process& from, const probe& message) {
        hear_probe(from, message);
    });
    on<probe_ack>([this](const peer_process& from, const probe_ack& message) {
        hear_probe(from, message);
    });
    on<probe_request>(
        [this](const peer_process& from, const probe_request& message) {
            members_.on_message(from.seat, message, state_->loop.now(), out_);
        });
    on<lease_request>(
        [this](const peer_process& from, const lease_request& message) {
            follow_state();
            leases_.on_message(from.seat, message, state_->loop.now(), out_);
        });
    on<lease_reply>(
        [this](const peer_process& from, const lease_reply& message) {
            leases_.on_message(from.seat, message, state_->loop.now(), out_);
        });
}

result<void> fleet_runner::start()
{
    const auto& file = state_->configured.peers.key_file;
    if (!file.empty()) {
        const auto key = read_file(file);
        if (!key)
            return tl::unexpected{key.error()};
        if (key->empty())
            return fail(
                error_kind::config_invalid,
                "peers.key_file: \"" + file + "\" is empty");
    }
    return link_.start();
}

peer_link_options fleet_runner::link_options() const
{
    const auto& configured = state_->configured;
    peer_link_options options;
    options.address = configured.peers.address;
    options.seat = configured.instance.id;
    options.incarnation = incarnation_;
    options.key = link_key(configured);
    options.max_frame_bytes = configured.peers.max_frame_bytes;
    options.seed = state_->random.next();
    return options;
}

/// The events arrive on the link's thread and go on on the loop's.
peer_link_events fleet_runner::link_events()
{
    peer_link_events events;
    events.received = [this](
                          const std::string& seat,
                          incarnation_number incarnation,
                          peer_message message) {
        state_->loop.post([this,
                           from = peer_process{seat, incarnation},
                           message = std::move(message)]() mutable {
            take(from, std::move(message));
        });
    };
    events.unsent = [this](const std::string& seat, delivery_ticket ticket) {
        state_->loop.post([this, seat, ticket] {
            for (const auto& handler : unsent_)
                handler(seat, ticket);
        });
    };
    events.lost = [this](const std::string& seat) {
        state_->loop.post([this, seat] {
            for (const auto& handler : lost_)
                handler(seat);
        });
    };
    return events;
}

template<class Message>
void fleet_runner::hear_probe(const peer_process& from, const Message& message)
{
    members_.on_message(from.seat, message, state_->loop.now(), out_);
    if (heard_)
        heard_(from.seat, message.config);
}

void fleet_runner::take(const peer_process& from, peer_message message)
{
    const auto& handler = handlers_[message.index()];
    if (handler)
        handler(from, std::move(message));
    follow_members();
    send_all();
}

void fleet_runner::follow_state()
{
    const auto now = state_->loop.now();
    const auto& in_force = state_->in_force;
    if (in_force != followed_) {
        followed_ = in_force;
        members_.on_seats(*in_force);
        leases_.on_bundle(in_force, now);
        budgets_.on_bundle(in_force, now);
        leases_.on_members(members_, now);
        for (const auto& handler : bundles_)
            handler(now);
    }
    if (state_->listed.version != followed_list_) {
        followed_list_ = state_->listed.version;
        members_.on_list(state_->listed, now);
        budgets_.on_list(state_->listed, now);
    }
}

void fleet_runner::follow_members()
{
    if (started_ && members_.revision() == members_revision_)
        return;
    started_ = true;
    members_revision_ = members_.revision();
    if (changed_)
        changed_();
    leases_.on_members(members_, state_->loop.now());
    std::map<std::string, endpoint> addresses;
    for (const auto& [seat, known] : members_.members()) {
        if (known.belief.peers.port != 0)
            addresses.emplace(seat, known.belief.peers);
    }
    link_.set_addresses(addresses);
}

void fleet_runner::follow_leaving(time_point now)
{
    if (members_.superseded() && !state_->superseded) {
        state_->superseded = true;
        log_event(log_level::error, "superseded");
    }
    if (!state_->leaving || told_leaving_)
        return;
    told_leaving_ = true;
    members_.leave(now, out_);
    leases_.release_all(now, out_);
}

void fleet_runner::tick()
{
    const auto now = state_->loop.now();
    follow_state();
    if (summary_)
        members_.set_config(summary_());
    if (followed_)
        members_.set_ready(!state_->leaving, now);
    follow_leaving(now);
    members_.on_time(now, out_);
    follow_members();
    leases_.on_members(members_, now);
    leases_.on_time(now, budgets_.busy(), out_);
    send_all();
    for (const auto& handler : ticks_)
        handler(now);
    state_->loop.after(tick_interval, [this] { tick(); });
}

void fleet_runner::send_all()
{
    for (const auto& each : out_)
        send(each.to, each.message);
    out_.clear();
}

void fleet_runner::send(
    const std::string& seat,
    const peer_message& message,
    delivery_ticket ticket)
{
    state_->counted.count(sent_counters[message.index()]);
    link_.send(seat, message, ticket);
}

} // namespace peridotward
