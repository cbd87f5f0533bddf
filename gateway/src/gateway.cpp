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

/// Answers "is this instance ready".
class ready_port final : public http_handler
{
public:
    ready_port(const gateway& owner, const directory_codec& codec)
        : owner_{&owner}, codec_{&codec}
    {}

    void on_request(http_session& session) override
    {
        const std::string_view target{session.request().target};
        if (!codec_->asks_ready(target.substr(0, target.find('?'))))
            session.respond(404, "text/plain", "unknown path");
        else if (owner_->ready())
            session.respond(200, "text/plain", "ready");
        else
            session.respond(503, "text/plain", "not ready");
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

private:
    const gateway* owner_;
    const directory_codec* codec_;
};

/// Answers which instances callers may use.
class directory_port final : public http_handler
{
public:
    directory_port(
        const directory_codec& codec,
        const peer_gossip& peers,
        const gateway_settings& settings,
        counters& numbers)
        : codec_{&codec},
          peers_{&peers},
          settings_{&settings},
          numbers_{&numbers}
    {}

    void on_request(http_session& session) override
    {
        const std::string_view target{session.request().target};
        if (!codec_->asks(target.substr(0, target.find('?')))) {
            session.respond(404, "text/plain", "unknown path");
            return;
        }
        numbers_->count("directory_questions_total");
        const auto named = entry_naming::name(
            peers_->serving(), codec_->domain_in(target), gateway::most_named);
        if (named.empty()) {
            session.respond(503, "text/plain", "no instance is ready");
            return;
        }
        session.respond(
            200,
            "application/json",
            codec_->answer(named, settings_->directory_ttl));
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

private:
    const directory_codec* codec_;
    const peer_gossip* peers_;
    const gateway_settings* settings_;
    counters* numbers_;
};

/// Serves operators: state and metrics.
class control_port final : public http_handler
{
public:
    control_port(
        forwarder& forwarding,
        const peer_gossip& peers,
        const event_log& log,
        const counters& numbers,
        const reactor& loop)
        : forwarding_{&forwarding},
          peers_{&peers},
          log_{&log},
          numbers_{&numbers},
          loop_{&loop}
    {}

    void on_request(http_session& session) override
    {
        const auto& target = session.request().target;
        if (target == "/metrics")
            session.respond(200, "text/plain; version=0.0.4", metrics());
        else if (target == "/state")
            session.respond(200, "application/json", state().dump(1));
        else if (extension_ != nullptr)
            extension_->on_request(session);
        else
            session.respond(404, "text/plain", "unknown path");
    }
    void on_caller_left(http_session& session) override
    {
        if (extension_ != nullptr)
            extension_->on_caller_left(session);
    }
    [[nodiscard]] caller_limits limits() const override { return {}; }

    void extend(http_handler& handler) noexcept { extension_ = &handler; }

private:
    [[nodiscard]] std::string metrics() const;
    [[nodiscard]] json state() const;

    forwarder* forwarding_;
    const peer_gossip* peers_;
    const event_log* log_;
    const counters* numbers_;
    const reactor* loop_;
    http_handler* extension_ = nullptr;
};

std::string control_port::metrics() const
{
    auto text = numbers_->render();
    const auto gauge = [&](std::string_view name, std::uint64_t value) {
        text += "peridotward_";
        text += name;
        text += " " + std::to_string(value) + "\n";
    };
    const auto& config = forwarding_->config();
    gauge("config_version", config ? config->version : 0);
    gauge("open_requests", forwarding_->open_requests());
    gauge("members", peers_->running().size() + 1);
    gauge("bad_peer_frames_total", peers_->bad_frames());
    gauge("upstream_connections", forwarding_->pool().connections());
    gauge("upstream_connections_opened_total", forwarding_->pool().opened());
    gauge("log_lines_dropped_total", log_->dropped());
    std::uint64_t cold = 0;
    const auto live = forwarding_->catalog().live();
    for (const auto number : live)
        cold += forwarding_->catalog().at(number).cold(loop_->now()) ? 1 : 0;
    gauge("replicas", live.size());
    gauge("replicas_cold", cold);
    return text;
}

json control_port::state() const
{
    const auto now = loop_->now();
    json dump;
    const auto& config = forwarding_->config();
    dump["config_version"] = config ? config->version : 0;
    auto& replicas = dump["replicas"] = json::array();
    auto& catalog = forwarding_->catalog();
    for (const auto number : catalog.live()) {
        const auto& known = catalog.at(number);
        const auto standing = catalog.standing(known);
        replicas.push_back(
            {{"id", known.published.id},
             {"service", known.published.service},
             {"address", known.published.address.text()},
             {"domain", known.published.domain},
             {"standing",
              standing == replica_standing::serving  ? "serving"
              : standing == replica_standing::fading ? "fading"
                                                     : "barred"},
             {"cold", known.cold(now)},
             {"slowness", known.health.slowness(now)},
             {"failure_share", known.health.failure_share(now)},
             {"shed_share", known.health.shed_share(now)},
             {"in_flight", known.health.in_flight()},
             {"unreachable", known.health.unreachable(now)}});
    }
    dump["barred_domains"] = catalog.barred_domains();
    auto& members = dump["members"] = json::array();
    for (const auto& [id, known] : peers_->members().members())
        members.push_back(
            {{"id", id},
             {"state", name_of(known.belief.state)},
             {"ready", known.belief.ready},
             {"capacity", known.belief.capacity},
             {"load", name_of(known.belief.load)}});
    return dump;
}

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
          ready{owner, codec},
          directory{codec, peers, settings, numbers},
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
    fleet_view seen;
    seen.others = peers.running();
    const auto named =
        entry_naming::name(peers.serving(), "", gateway::most_named);
    seen.senders = static_cast<std::uint32_t>(named.size());
    seen.sends = std::any_of(
        named.begin(), named.end(), [&](const entry_candidate& entry) {
            return entry.callers == settings.listen.callers;
        });
    log->write(
        loop->now(),
        event_rank::notable,
        "members_changed",
        {{"running", seen.others.size() + 1},
         {"serving", peers.serving().size()}});
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
