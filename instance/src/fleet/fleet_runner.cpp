#include "fleet/fleet_runner.hpp"
#include "log.hpp"

namespace peridotward {

namespace {

constexpr milliseconds tick_interval{20};

/// Counter names of sent messages, by index in `peer_message`.
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
        "peer_sent_rate_share_request",
        "peer_sent_rate_share_grant",
        "peer_sent_crash_records",
        "peer_sent_load_reports",
        "peer_sent_credit_request",
        "peer_sent_credit_grant",
    };

member_update
make_self(const settings& configured, incarnation_number incarnation)
{
    member_update self;
    self.id = configured.instance.id;
    self.incarnation = incarnation;
    self.domain = configured.instance.domain;
    self.peers = configured.peers.address;
    self.callers = configured.callers.address;
    return self;
}

incarnation_number make_incarnation(const instance_state& state)
{
    return static_cast<incarnation_number>(
        state.loop.wall().time_since_epoch().count());
}

std::string read_link_key(const settings& configured)
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
      incarnation_{make_incarnation(state)},
      members_{make_self(state.configured, incarnation_), state.random.next()},
      leases_{
          state.configured.instance.id,
          incarnation_,
          state.loop.now(),
          state.random.next()},
      budgets_{leases_},
      link_{link_options(), link_events()}
{
    on<probe>([this](const peer_process& from, const probe& message) {
        on_probe_message(from, message);
    });
    on<probe_ack>([this](const peer_process& from, const probe_ack& message) {
        on_probe_message(from, message);
    });
    on<probe_request>(
        [this](const peer_process& from, const probe_request& message) {
            members_.on_message(
                from.instance_id, message, state_->loop.now(), outgoing_);
        });
    on<lease_request>(
        [this](const peer_process& from, const lease_request& message) {
            apply_state_changes();
            leases_.on_message(
                from.instance_id, message, state_->loop.now(), outgoing_);
        });
    on<lease_reply>(
        [this](const peer_process& from, const lease_reply& message) {
            leases_.on_message(
                from.instance_id, message, state_->loop.now(), outgoing_);
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
    options.instance_id = configured.instance.id;
    options.incarnation = incarnation_;
    options.key = read_link_key(configured);
    options.max_frame_bytes = configured.peers.max_frame_bytes;
    options.seed = state_->random.next();
    return options;
}

/// \returns Handlers that run on the link's thread and post to the loop.
peer_link_events fleet_runner::link_events()
{
    peer_link_events events;
    events.received = [this](
                          const std::string& instance_id,
                          incarnation_number incarnation,
                          peer_message message) {
        state_->loop.post([this,
                           from = peer_process{instance_id, incarnation},
                           message = std::move(message)]() mutable {
            dispatch(from, std::move(message));
        });
    };
    events.unsent =
        [this](const std::string& instance_id, delivery_ticket ticket) {
            state_->loop.post([this, instance_id, ticket] {
                for (const auto& handler : unsent_handlers_)
                    handler(instance_id, ticket);
            });
        };
    events.lost = [this](const std::string& instance_id) {
        state_->loop.post([this, instance_id] {
            for (const auto& handler : lost_handlers_)
                handler(instance_id);
        });
    };
    return events;
}

template<class Message>
void fleet_runner::on_probe_message(
    const peer_process& from, const Message& message)
{
    members_.on_message(
        from.instance_id, message, state_->loop.now(), outgoing_);
    if (summary_handler_)
        summary_handler_(from.instance_id, message.config);
}

void fleet_runner::dispatch(const peer_process& from, peer_message message)
{
    const auto& handler = handlers_[message.index()];
    if (handler)
        handler(from, std::move(message));
    apply_member_changes();
    send_all();
}

void fleet_runner::apply_state_changes()
{
    const auto now = state_->loop.now();
    const auto& in_force = state_->in_force;
    if (in_force != bundle_) {
        bundle_ = in_force;
        members_.on_configured_instances(*in_force);
        leases_.on_bundle(in_force, now);
        budgets_.on_bundle(in_force, now);
        leases_.on_members(members_, now);
        for (const auto& handler : bundle_handlers_)
            handler(now);
    }
    if (state_->published_list.version != list_version_) {
        list_version_ = state_->published_list.version;
        members_.on_list(state_->published_list, now);
        budgets_.on_list(state_->published_list, now);
    }
}

void fleet_runner::apply_member_changes()
{
    if (members_applied_ && members_.revision() == members_revision_)
        return;
    members_applied_ = true;
    members_revision_ = members_.revision();
    if (members_handler_)
        members_handler_();
    leases_.on_members(members_, state_->loop.now());
    std::map<std::string, endpoint> addresses;
    for (const auto& [instance_id, member] : members_.members()) {
        if (member.latest_update.peers.port != 0)
            addresses.emplace(instance_id, member.latest_update.peers);
    }
    link_.set_addresses(addresses);
}

void fleet_runner::announce_leave(time_point now)
{
    if (members_.superseded() && !state_->superseded) {
        state_->superseded = true;
        log_event(log_level::error, "superseded");
    }
    if (!state_->leaving || leave_announced_)
        return;
    leave_announced_ = true;
    members_.leave(now, outgoing_);
    leases_.release_all(now, outgoing_);
}

void fleet_runner::tick()
{
    const auto now = state_->loop.now();
    apply_state_changes();
    if (summary_source_)
        members_.set_config(summary_source_());
    if (bundle_)
        members_.set_ready(!state_->leaving, now);
    announce_leave(now);
    members_.on_timeout(now, outgoing_);
    apply_member_changes();
    leases_.on_members(members_, now);
    leases_.on_timeout(now, budgets_.busy(), outgoing_);
    send_all();
    for (const auto& handler : tick_handlers_)
        handler(now);
    state_->loop.schedule_after(tick_interval, [this] { tick(); });
}

void fleet_runner::send_all()
{
    for (const auto& produced : outgoing_)
        send(produced.to, produced.message);
    outgoing_.clear();
}

void fleet_runner::send(
    const std::string& instance_id,
    const peer_message& message,
    delivery_ticket ticket)
{
    state_->metrics.increment(sent_counters[message.index()]);
    link_.send(instance_id, message, ticket);
}

} // namespace peridotward
