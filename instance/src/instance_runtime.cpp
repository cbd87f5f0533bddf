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

constexpr milliseconds drain_check_interval{20};

http_server_options
server_options(std::string name, const listener_settings& listener)
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
        : state{std::move(configured), clock, process_seed()},
          upstreams{state.loop, state.configured.instance.domain},
          fleet{state},
          executor{fleet, upstreams},
          peer_requests{fleet, executor},
          attempts{fleet, executor},
          records{fleet, executor},
          entries{state},
          monitor{fleet, upstreams},
          callers{
              state,
              fleet.members(),
              records,
              entries,
              attempts,
              [this](exchange_id id, http_response response) {
                  caller_server.reply(id, std::move(response));
              }},
          operators{state, callers, fleet},
          platform{state},
          configuration{fleet, platform.config()},
          caller_server{
              server_options("callers", state.configured.callers),
              [this](exchange_id id, http_request request) {
                  state.loop.post(
                      [this, id, request = std::move(request)]() mutable {
                          callers.on_request(id, std::move(request));
                      });
              },
              [this](exchange_id id) {
                  state.loop.post([this, id] { callers.on_disconnect(id); });
              }},
          operator_server{
              server_options("operators", state.configured.operators),
              [this](exchange_id id, http_request request) {
                  state.loop.post([this, id, request = std::move(request)] {
                      operator_server.reply(id, operators.on_request(request));
                  });
              },
              [](exchange_id) {}}
    {
        executor.set_entry_admission(entries);
        fleet.on_bundle([this](time_point) { entries.update_bundle(); });
    }

    void begin_shutdown();
    void stop_when_idle();

    machine_clock clock;
    instance_state state;
    upstream_client upstreams;
    fleet_runner fleet;
    upstream_executor executor;
    peer_request_handler peer_requests;
    attempt_router attempts;
    record_router records;
    entry_deduplicator entries;
    upstream_monitor monitor;
    caller_api callers;
    operator_api operators;
    platform_reader platform;
    config_peer_adapter configuration;
    http_server caller_server;
    http_server operator_server;
    std::atomic<int> stop_requests{0};
    time_point stop_deadline;
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
         {"process", impl_->state.process_name}});
    impl_->platform.start();
    impl_->fleet.start_timer();
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
    impl_->state.loop.post([this] { impl_->begin_shutdown(); });
}

void instance_runtime::impl::begin_shutdown()
{
    state.leaving = true;
    stop_deadline = state.loop.now() + state.configured.limits.stop_limit;
    log_event(log_level::info, "leaving");
    state.loop.schedule_after(
        state.configured.limits.entries_max_age, [this] { stop_when_idle(); });
}

void instance_runtime::impl::stop_when_idle()
{
    const auto unanswered = caller_server.open_exchanges();
    const bool idle = unanswered == 0 && fleet.leases().released();
    if (!idle && state.loop.now() < stop_deadline) {
        state.loop.schedule_after(
            drain_check_interval, [this] { stop_when_idle(); });
        return;
    }
    if (unanswered > 0)
        log_event(log_level::warn, "stop_limit_reached", {{"cut", unanswered}});
    state.loop.stop();
}

} // namespace peridotward
