#include "control_handler.hpp"
#include "discovery_handlers.hpp"
#include "instance_directory.hpp"

#include <peridotward/core/admission/load_meter.hpp>
#include <peridotward/core/budgets/sender_weight.hpp>
#include <peridotward/gateway/gateway.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace peridotward {

namespace {

/// Period of `check`: timeouts, expired replicas, load measurement.
constexpr milliseconds check_interval{100};
/// Min time between closing the listener and stopping.
constexpr milliseconds min_drain_time{300};

} // namespace

struct gateway::implementation
{
    implementation(
        gateway& owner,
        reactor& shared_loop,
        event_log& shared_log,
        gateway_settings initial_settings,
        header_names header_field_names,
        const directory_codec& codec,
        std::uint64_t seed,
        incarnation_number incarnation)
        : loop{&shared_loop},
          log{&shared_log},
          settings{std::move(initial_settings)},
          names{std::move(header_field_names)},
          forwarding{shared_loop, shared_log, stats, settings, names, seed},
          peers{shared_loop, shared_log, settings, seed + 1, incarnation},
          instances{peers},
          ready{owner, codec},
          directory{codec, instances, settings, stats},
          control{forwarding, peers, shared_log, stats, shared_loop},
          callers_listener{shared_loop, forwarding},
          ready_listener{shared_loop, ready},
          directory_listener{shared_loop, directory},
          control_listener{shared_loop, control},
          metrics_listener{shared_loop, control},
          timer{[this] { check(); }}
    {}

    void check();
    void check_shutdown(time_point now);
    void on_members_changed();
    /// \brief Sets the weights by which instances share budgets.
    void set_weights(fleet_view& fleet);

    reactor* loop;
    event_log* log;
    gateway_settings settings;
    header_names names;
    counters stats;
    forwarder forwarding;
    peer_gossip peers;
    instance_directory instances;
    readiness_handler ready;
    directory_handler directory;
    control_handler control;
    http_listener callers_listener;
    http_listener ready_listener;
    http_listener directory_listener;
    http_listener control_listener;
    http_listener metrics_listener;
    load_meter meter;
    reactor_timer timer;
    std::uint32_t max_capacity = 0; ///< The greatest seen in the fleet.
    bool has_upstreams = false;
    bool stopped = false;
    bool sends = false; ///< Whether the directory listed this instance last.
    std::optional<time_point> stop_time;
    std::optional<shutdown_schedule> shutdown;
    std::optional<time_point> idle_close_time;
};

void gateway::implementation::on_members_changed()
{
    log->write(
        loop->now(),
        event_severity::notable,
        "members_changed",
        {{"running", peers.running().size() + 1},
         {"serving", peers.serving().size()}});
    fleet_view fleet;
    fleet.others = peers.running();
    for (const auto& instance : peers.leaving())
        fleet.leaving.push_back(instance.id);
    if (stop_time)
        fleet.leaving.push_back(peers.members().self().id);
    const auto listed = instances.select("");
    if (!stop_time)
        sends = std::any_of(
            listed.begin(),
            listed.end(),
            [&](const instance_candidate& instance) {
                return instance.callers == settings.listen.callers;
            });
    // Instances that shut down serve callers with older directory answers until
    // they exit, and need their share of the connections for that.
    fleet.senders =
        static_cast<std::uint32_t>(listed.size() + fleet.leaving.size());
    fleet.sends = sends;
    set_weights(fleet);
    forwarding.set_fleet(std::move(fleet));
}

void gateway::implementation::set_weights(fleet_view& fleet)
{
    std::vector<std::uint32_t> capacities{settings.capacity};
    for (const auto& [id, member] : peers.members().members()) {
        if (member.latest_update.state != member_state::dead)
            capacities.push_back(member.latest_update.capacity);
    }
    max_capacity = std::max(
        max_capacity, *std::max_element(capacities.begin(), capacities.end()));
    fleet.weight = sender_weight::of(settings.capacity, max_capacity);
    fleet.total_weight = 0;
    for (const auto capacity : capacities)
        fleet.total_weight += sender_weight::of(capacity, max_capacity);
    fleet.other_weights.clear();
    for (const auto& id : fleet.others) {
        const auto found = peers.members().members().find(id);
        fleet.other_weights.push_back(sender_weight::of(
            found == peers.members().members().end()
                ? 0
                : found->second.latest_update.capacity,
            max_capacity));
    }
}

void gateway::implementation::check()
{
    const auto now = loop->now();
    meter.on_timer(timer.due(), now);
    peers.set_load(meter.level());
    peers.set_config_version(
        forwarding.config() ? forwarding.config()->version : 0);
    forwarding.check(now);
    if (has_upstreams && !stop_time)
        peers.set_ready(!forwarding.replaced());
    callers_listener.check(now);
    ready_listener.check(now);
    directory_listener.check(now);
    control_listener.check(now);
    metrics_listener.check(now);
    check_shutdown(now);
    log->flush();
    loop->arm(timer, now + check_interval);
}

void gateway::implementation::check_shutdown(time_point now)
{
    if (!stop_time)
        return;
    const auto elapsed = now - *stop_time;
    if (now >= shutdown->close_idle_at()) {
        if (!idle_close_time) {
            idle_close_time = now;
            callers_listener.close();
        }
        callers_listener.close_idle();
    }
    const bool drained = idle_close_time &&
                         now - *idle_close_time >= min_drain_time &&
                         callers_listener.busy() == 0;
    if (drained || now >= shutdown->exit_by()) {
        log->write(
            now,
            event_severity::notable,
            "stopped",
            {{"after", elapsed}, {"open", callers_listener.busy()}});
        stopped = true;
        loop->stop();
    }
}

gateway::gateway(
    reactor& loop,
    event_log& log,
    gateway_settings settings,
    header_names names,
    const directory_codec& codec,
    std::uint64_t seed,
    incarnation_number incarnation)
    : impl_{std::make_unique<implementation>(
          *this,
          loop,
          log,
          std::move(settings),
          std::move(names),
          codec,
          seed,
          incarnation)}
{}

gateway::~gateway() = default;

result<void> gateway::start()
{
    auto& impl = *impl_;
    const auto& listen = impl.settings.listen;
    impl.log->write(
        impl.loop->now(),
        event_severity::notable,
        "started",
        {{"callers", listen.callers.text()},
         {"domain", impl.settings.domain},
         {"store", impl.settings.store.text()}});
    impl.peers.on_message = [this](std::string_view from, const auto& message) {
        impl_->forwarding.on_peer_message(from, message);
    };
    impl.forwarding.send_to_peers = [this](auto messages) {
        impl_->peers.send(std::move(messages));
    };
    impl.forwarding.relay_candidates = [this] {
        auto candidates = impl_->peers.serving();
        auto leaving = impl_->peers.leaving();
        std::move(
            leaving.begin(), leaving.end(), std::back_inserter(candidates));
        return candidates;
    };
    impl.forwarding.alternatives = [this] {
        return directory_selector::select(
            impl_->peers.serving(),
            impl_->settings.domain,
            forwarder::max_alternatives);
    };
    impl.peers.on_change = [this] { impl_->on_members_changed(); };
    return impl.callers_listener.open(listen.callers)
        .and_then([&] { return impl.ready_listener.open(listen.ready); })
        .and_then(
            [&] { return impl.directory_listener.open(listen.directory); })
        .and_then([&] { return impl.control_listener.open(listen.control); })
        .and_then([&] { return impl.metrics_listener.open(listen.metrics); })
        .and_then([&] { return impl.peers.start(); })
        .map([&] { impl.loop->arm(impl.timer, impl.loop->now()); });
}

void gateway::stop()
{
    auto& impl = *impl_;
    if (impl.stop_time)
        return;
    impl.stop_time = impl.loop->now();
    impl.log->write(
        impl.loop->now(),
        event_severity::notable,
        "stopping",
        {{"open", impl.forwarding.open_requests()}});
    impl.shutdown.emplace(*impl.stop_time, impl.settings.shutdown_grace);
    impl.forwarding.begin_shutdown(*impl.shutdown);
    impl.peers.leave();
}

bool gateway::stopped() const noexcept
{
    return impl_->stopped;
}

void gateway::reload(const result<gateway_settings>& loaded)
{
    auto& impl = *impl_;
    const auto now = impl.loop->now();
    if (!loaded) {
        impl.log->write(
            now,
            event_severity::notable,
            "settings_rejected",
            {{"reason", loaded.error().message}});
        return;
    }
    const auto changed = changed_settings(impl.settings, *loaded);
    if (changed.empty())
        return;
    const bool applied = may_reload(impl.settings, *loaded);
    impl.log->write(
        now,
        event_severity::notable,
        applied ? "settings_in_force" : "settings_need_restart",
        {{"changed", changed}});
    if (!applied)
        return;
    impl.settings = *loaded;
    impl.forwarding.apply_settings();
    impl.peers.apply_seeds();
}

void gateway::set_upstreams_known()
{
    if (std::exchange(impl_->has_upstreams, true))
        return;
    impl_->log->write(impl_->loop->now(), event_severity::notable, "ready", {});
    if (!impl_->stop_time)
        impl_->peers.set_ready(true);
}

bool gateway::ready() const
{
    return impl_->has_upstreams && !impl_->stop_time;
}

void gateway::extend_control(http_handler& handler)
{
    impl_->control.extend(handler);
}

const peer_gossip& gateway::peers() const noexcept
{
    return impl_->peers;
}

const gateway_settings& gateway::settings() const noexcept
{
    return impl_->settings;
}

forwarder& gateway::forwarding() noexcept
{
    return impl_->forwarding;
}

counters& gateway::stats() noexcept
{
    return impl_->stats;
}

} // namespace peridotward
