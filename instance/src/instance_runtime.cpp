#include "callers/caller_api.hpp"
#include "configuration/config_peer_adapter.hpp"
#include "configuration/platform_reader.hpp"
#include "entries/entry_deduplicator.hpp"
#include "log.hpp"
#include "operators/operator_api.hpp"
#include "owners/attempt_router.hpp"
#include "owners/peer_request_handler.hpp"
#include "upstreams/upstream_monitor.hpp"

#include <peridotward/base/clock.hpp>
#include <peridotward/http/http_server.hpp>
#include <peridotward/instance/instance_runtime.hpp>

#include <atomic>
#include <cstdlib>
#include <random>

namespace peridotward {

namespace {

constexpr milliseconds drain_check{20};

http_server_options
options_of(std::string name, const listener_settings& listener)
{
    http_server_options options;
    options.name = std::move(name);
    options.address = listener.address;
    options.threads = listener.threads;
    options.max_request_bytes = listener.max_request_bytes;
    options.header_timeout = listener.header_timeout;
    options.body_timeout = listener.body_timeout;
    return options;
}

std::uint64_t process_seed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

struct instance_runtime::impl
{
    explicit impl(settings configured)
        : state{std::move(configured), time, process_seed()},
          gateway{state.loop, state.configured.instance.domain},
          fleet{state},
          executor{fleet, gateway},
          desk{fleet, executor},
          port{fleet, executor},
          records{fleet, executor},
          entries{state},
          watch{fleet, gateway},
          callers{
              state,
              fleet.members(),
              records,
              entries,
              port,
              [this](exchange_id id, http_response response) {
                  caller_server.reply(id, std::move(response));
              }},
          operators{state, callers, fleet},
          platform{state},
          configuration{fleet, platform.config()},
          caller_server{
              options_of("callers", state.configured.callers),
              [this](exchange_id id, http_request request) {
                  state.loop.post(
                      [this, id, request = std::move(request)]() mutable {
                          callers.on_request(id, std::move(request));
                      });
              },
              [this](exchange_id id) {
                  state.loop.post([this, id] { callers.on_gone(id); });
              }},
          operator_server{
              options_of("operators", state.configured.operators),
              [this](exchange_id id, http_request request) {
                  state.loop.post([this, id, request = std::move(request)] {
                      operator_server.reply(id, operators.on_request(request));
                  });
              },
              [](exchange_id) {}}
    {
        executor.use_gate(entries);
        fleet.on_bundle([this](time_point) { entries.follow_bundle(); });
    }

    void leave();
    void stop_when_idle();

    machine_clock time;
    instance_state state;
    upstream_client gateway;
    fleet_runner fleet;
    upstream_executor executor;
    peer_request_handler desk;
    attempt_router port;
    record_router records;
    entry_deduplicator entries;
    upstream_monitor watch;
    caller_api callers;
    operator_api operators;
    platform_reader platform;
    config_peer_adapter configuration;
    http_server caller_server;
    http_server operator_server;
    std::atomic<int> stop_requests{0};
    time_point stop_limit;
};

instance_runtime::instance_runtime(settings configured)
    : impl_{std::make_unique<impl>(std::move(configured))}
{}

instance_runtime::~instance_runtime() = default;

result<void> instance_runtime::start()
{
    return impl_->platform.prepare()
        .and_then([&] { return impl_->caller_server.start(); })
        .and_then([&] { return impl_->operator_server.start(); })
        .and_then([&] { return impl_->fleet.start(); });
}

void instance_runtime::run()
{
    const auto& configured = impl_->state.configured;
    log_event(
        log_level::info,
        "started",
        {{"callers", configured.callers.address.text()},
         {"operators", configured.operators.address.text()},
         {"process", impl_->state.process}});
    impl_->platform.start();
    impl_->fleet.begin();
    impl_->state.loop.run();
    impl_->fleet.stop();
    impl_->caller_server.stop();
    impl_->operator_server.stop();
    log_event(log_level::info, "stopped");
}

void instance_runtime::request_stop()
{
    if (impl_->stop_requests++ > 0) {
        log_event(
            log_level::warn,
            "stopped_at_once",
            {{"cut", impl_->caller_server.open_exchanges()}});
        std::_Exit(EXIT_FAILURE);
    }
    impl_->state.loop.post([this] { impl_->leave(); });
}

void instance_runtime::impl::leave()
{
    state.leaving = true;
    stop_limit = state.loop.now() + state.configured.limits.stop_limit;
    log_event(log_level::info, "leaving");
    state.loop.after(
        state.configured.limits.entries_max_age, [this] { stop_when_idle(); });
}

void instance_runtime::impl::stop_when_idle()
{
    const auto owed = caller_server.open_exchanges();
    const bool settled = owed == 0 && fleet.leases().released();
    if (!settled && state.loop.now() < stop_limit) {
        state.loop.after(drain_check, [this] { stop_when_idle(); });
        return;
    }
    if (owed > 0)
        log_event(log_level::warn, "stop_limit_reached", {{"cut", owed}});
    state.loop.stop();
}

} // namespace peridotward
