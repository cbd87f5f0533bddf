#include "configuration/config_sync.hpp"
#include "log.hpp"

#include <charconv>

namespace peridotward {

namespace {

constexpr milliseconds tick_interval{100};
constexpr seconds read_timeout{2};
constexpr seconds watch_timeout{45};
constexpr std::uint16_t http_ok = 200;
constexpr std::string_view value_path = "/v1/values/";
constexpr std::string_view version_header = "value-version";
constexpr std::string_view reader_header = "instance-id";

std::uint64_t parse_value_version(const http_headers& headers)
{
    const auto text = find_header(headers, version_header);
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

std::string
request_path(const config_read& read, const std::string& bundle_name)
{
    const std::string prefix{value_path};
    if (read.kind == config_read_kind::part)
        return prefix + part_value_name(bundle_name, read.digest);
    if (read.kind == config_read_kind::watch)
        return prefix + bundle_name + "?after=" + std::to_string(read.after);
    return prefix + bundle_name;
}

} // namespace

result<void> config_sync::prepare()
{
    const auto& configured = state_->configured;
    auto policy = load_sign_off(configured.sign_off);
    if (!policy)
        return tl::unexpected{policy.error()};
    config_store_options options;
    options.self = configured.instance.id;
    options.retry_delay = configured.platform.poll_interval;
    options.join_wait = configured.platform.join_wait;
    options.sign_off = std::move(*policy);
    store_.emplace(
        std::move(options), state_->loop.now(), state_->random.next());
    state_->configuration = &*store_;
    return {};
}

void config_sync::start()
{
    if (state_->configured.sign_off.required == 0)
        log_event(
            log_level::warn,
            "sign_off_absent",
            {{"reason", "bundles are accepted without signatures"}});
    tick();
}

void config_sync::tick()
{
    execute(store_->on_tick(state_->loop.now()));
    state_->loop.schedule_after(tick_interval, [this] { tick(); });
}

void config_sync::set_live_instances(std::vector<std::string> instance_ids)
{
    store_->set_live(std::move(instance_ids));
}

void config_sync::on_summary(
    const std::string& from, const config_summary& peer_summary)
{
    execute(store_->on_summary(from, peer_summary, state_->loop.now()));
}

void config_sync::on_fetch(const std::string& from, const config_fetch& request)
{
    execute(store_->on_fetch(from, request, state_->loop.now()));
}

void config_sync::on_part(const std::string& from, config_part part)
{
    execute(store_->on_part(from, std::move(part), state_->loop.now()));
}

config_summary config_sync::summary() const
{
    auto own = store_->summary();
    own.list_version = state_->published_list.version;
    return own;
}

void config_sync::execute(const config_actions& actions)
{
    if (actions.accepted)
        accept(actions.accepted);
    for (const auto& refusal : actions.refusals)
        log_event(
            log_level::error,
            "bundle_refused",
            {{"kind", name_of(refusal.kind)},
             {"version", refusal.version},
             {"source", refusal.source},
             {"reason", refusal.message}});
    for (const auto& message : actions.messages) {
        if (send_)
            send_(message);
    }
    for (const auto& read : actions.reads)
        submit_read(read);
}

void config_sync::submit_read(const config_read& read)
{
    const auto& platform = state_->configured.platform;
    const bool watch = read.kind == config_read_kind::watch;
    client_request request;
    request.to = platform.configuration;
    request.path = request_path(read, platform.bundle_name);
    request.timeout = watch ? watch_timeout : read_timeout;
    request.headers = {
        {std::string{reader_header}, state_->configured.instance.id}};
    state_->metrics.increment("configuration_calls");
    state_->loop.client().submit(
        std::move(request), [this, read](client_response response) {
            config_read_result read_result;
            read_result.succeeded =
                response.outcome == transport_outcome::answered &&
                response.status == http_ok;
            if (read_result.succeeded) {
                read_result.value_version =
                    parse_value_version(response.headers);
                read_result.bytes = std::move(response.body);
            }
            else {
                state_->metrics.increment("configuration_call_failures");
            }
            execute(store_->on_read(
                read, std::move(read_result), state_->loop.now()));
        });
}

void config_sync::accept(const bundle_ptr& accepted)
{
    state_->apply_bundle(accepted);
    state_->metrics.increment("bundles_accepted");
    state_->accepted_at = state_->loop.wall();
    log_event(
        log_level::info,
        "bundle_in_force",
        {{"version", accepted->version}, {"digest", accepted->digest}});
}

} // namespace peridotward
