#include "control_port.hpp"
#include "entry_directory.hpp"
#include "entry_ports.hpp"

#include <peridotward/core/admission/load_meter.hpp>
#include <peridotward/gateway/gateway.hpp>

#include <algorithm>
#include <utility>

namespace peridotward {

namespace {

/// Between two looks at connections and replicas that are due.
constexpr milliseconds check_interval{100};
/// From the stop signal to the end of idle connections: callers have a new
/// directory answer by then.
constexpr milliseconds idle_close_wait{3300};
/// Kept of the grace time for the end of the process.
constexpr milliseconds exit_reserve{400};
/// Shortest wait after idle connections were closed.
constexpr milliseconds exit_wait{300};

} // namespace

struct gateway::parts
{
    parts(
        gateway& owner,
        reactor& shared_loop,
        event_log& shared_log,
        gateway_settings given,
        protocol_names given_names,
        const directory_codec& codec,
        std::uint64_t seed,
        incarnation_number incarnation)
        : loop{&shared_loop},
          log{&shared_log},
          settings{std::move(given)},
          names{std::move(given_names)},
          forwarding{shared_loop, shared_log, numbers, settings, names, seed},
          peers{shared_loop, shared_log, settings, seed + 1, incarnation},
          entries{peers},
          ready{owner, codec},
          directory{codec, entries, settings, numbers},
          control{forwarding, peers, shared_log, numbers, shared_loop},
          callers_listener{shared_loop, forwarding},
          ready_listener{shared_loop, ready},
          directory_listener{shared_loop, directory},
          control_listener{shared_loop, control},
          metrics_listener{shared_loop, control},
          timer{[this] { check(); }}
    {}

    void check();
    void check_stop(time_point now);
    void members_changed();

    reactor* loop;
    event_log* log;
    gateway_settings settings;
    protocol_names names;
    counters numbers;
    forwarder forwarding;
    peer_gossip peers;
    entry_directory entries;
    ready_port ready;
    directory_port directory;
    control_port control;
    http_listener callers_listener;
    http_listener ready_listener;
    http_listener directory_listener;
    http_listener control_listener;
    http_listener metrics_listener;
    load_meter meter;
    reactor_timer timer;
    bool known = false;
    std::optional<time_point> stopping;
    std::optional<time_point> idle_closed;
};

void gateway::parts::members_changed()
{
    log->write(
        loop->now(),
        event_rank::notable,
        "members_changed",
        {{"running", peers.running().size() + 1},
         {"serving", peers.serving().size()}});
    fleet_view seen;
    seen.others = peers.running();
    const auto named = entries.named("");
    seen.senders = static_cast<std::uint32_t>(named.size());
    seen.sends = std::any_of(
        named.begin(), named.end(), [&](const instance_candidate& entry) {
            return entry.callers == settings.listen.callers;
        });
    forwarding.fleet(std::move(seen));
}

void gateway::parts::check()
{
    const auto now = loop->now();
    meter.on_timer(timer.due(), now);
    peers.set_load(meter.level());
    forwarding.check(now);
    callers_listener.check(now);
    ready_listener.check(now);
    directory_listener.check(now);
    control_listener.check(now);
    metrics_listener.check(now);
    check_stop(now);
    log->flush();
    loop->arm(timer, now + check_interval);
}

void gateway::parts::check_stop(time_point now)
{
    if (!stopping)
        return;
    const auto passed = now - *stopping;
    if (passed >= idle_close_wait) {
        if (!idle_closed) {
            idle_closed = now;
            callers_listener.close();
        }
        callers_listener.close_idle();
    }
    const bool served = idle_closed && now - *idle_closed >= exit_wait &&
                        callers_listener.busy() == 0;
    if (served || passed >= settings.grace - exit_reserve) {
        log->write(
            now,
            event_rank::notable,
            "stopped",
            {{"after", passed}, {"open", callers_listener.busy()}});
        loop->stop();
    }
}

gateway::gateway(
    reactor& loop,
    event_log& log,
    gateway_settings settings,
    protocol_names names,
    const directory_codec& codec,
    std::uint64_t seed,
    incarnation_number incarnation)
    : parts_{std::make_unique<parts>(
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
    auto& all = *parts_;
    const auto& listen = all.settings.listen;
    all.log->write(
        all.loop->now(),
        event_rank::notable,
        "started",
        {{"callers", listen.callers.text()},
         {"domain", all.settings.domain},
         {"store", all.settings.store.text()}});
    all.peers.changed = [this] { parts_->members_changed(); };
    return all.callers_listener.open(listen.callers)
        .and_then([&] { return all.ready_listener.open(listen.ready); })
        .and_then([&] { return all.directory_listener.open(listen.directory); })
        .and_then([&] { return all.control_listener.open(listen.control); })
        .and_then([&] { return all.metrics_listener.open(listen.metrics); })
        .and_then([&] { return all.peers.start(); })
        .map([&] { all.loop->arm(all.timer, all.loop->now()); });
}

void gateway::stop()
{
    auto& all = *parts_;
    if (all.stopping)
        return;
    all.stopping = all.loop->now();
    all.log->write(
        all.loop->now(),
        event_rank::notable,
        "stopping",
        {{"open", all.forwarding.open_requests()}});
    all.forwarding.begin_closing();
    all.peers.leave();
}

void gateway::reload(const result<gateway_settings>& loaded)
{
    auto& all = *parts_;
    const auto now = all.loop->now();
    if (!loaded) {
        all.log->write(
            now,
            event_rank::notable,
            "settings_rejected",
            {{"reason", loaded.error().message}});
        return;
    }
    const auto changed = changed_settings(all.settings, *loaded);
    if (changed.empty())
        return;
    const bool applied = may_reload(all.settings, *loaded);
    all.log->write(
        now,
        event_rank::notable,
        applied ? "settings_in_force" : "settings_need_restart",
        {{"changed", changed}});
    if (!applied)
        return;
    all.settings = *loaded;
    all.forwarding.settings_changed();
    all.peers.seeds_changed();
}

void gateway::upstreams_known()
{
    if (std::exchange(parts_->known, true))
        return;
    parts_->log->write(parts_->loop->now(), event_rank::notable, "ready", {});
    if (!parts_->stopping)
        parts_->peers.set_ready(true);
}

bool gateway::ready() const
{
    return parts_->known && !parts_->stopping;
}

void gateway::extend_control(http_handler& handler)
{
    parts_->control.extend(handler);
}

const peer_gossip& gateway::peers() const noexcept
{
    return parts_->peers;
}

const gateway_settings& gateway::settings() const noexcept
{
    return parts_->settings;
}

forwarder& gateway::forwarding() noexcept
{
    return parts_->forwarding;
}

counters& gateway::numbers() noexcept
{
    return parts_->numbers;
}

} // namespace peridotward
