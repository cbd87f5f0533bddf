#include <peridotward/base/object_reader.hpp>
#include <peridotward/gateway/gateway_settings.hpp>

#include <fstream>
#include <iterator>

namespace peridotward {

namespace {

constexpr double max_cores = 1024;
constexpr double max_ratio = 100;
constexpr double max_memory_mb = 1U << 20U;
constexpr double max_extra_requests = 1e6;

endpoint read_address(object_reader& from, std::string_view key)
{
    const auto text = from.text(key);
    auto parsed = parse_endpoint(text);
    if (!parsed)
        from.throw_invalid(key, parsed.error().message);
    return *parsed;
}

gateway_listeners read_listeners(object_reader from)
{
    gateway_listeners listeners;
    listeners.callers = read_address(from, "callers");
    listeners.ready = read_address(from, "ready");
    listeners.directory = read_address(from, "directory");
    listeners.control = read_address(from, "control");
    listeners.metrics = read_address(from, "metrics");
    listeners.peers = read_address(from, "peers");
    from.finish();
    return listeners;
}

/// Replaces the port of each seed by `port`: the settings list seeds with
/// another of their ports, and all instances use the same gossip port.
std::vector<endpoint>
read_seeds(object_reader& from, std::string_view key, std::uint16_t port)
{
    std::vector<endpoint> seeds;
    for (const auto& element : from.array(key)) {
        if (!element.is_string())
            from.throw_invalid(key, "an element is not a string");
        auto parsed = parse_endpoint(element.get<std::string>());
        if (!parsed)
            from.throw_invalid(key, parsed.error().message);
        seeds.push_back({parsed->host, port});
    }
    return seeds;
}

void read_limits(object_reader from, gateway_settings& settings)
{
    settings.retries.ratio = from.number("repeat_ratio", 0, max_ratio);
    settings.retries.burst_allowance =
        from.number("repeat_extra", 0, max_extra_requests);
    settings.retries.window = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{from.number("repeat_window_s", 1, 3600)});
    settings.cold_starts.rate_factor = from.number("cold_over", 0, max_ratio);
    settings.cold_starts.burst_allowance =
        from.number("cold_slack", 0, max_extra_requests);
    settings.shutdown_grace = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{from.number("grace_s", 0, 3600)});
    if (from.has("quota_window_s"))
        settings.quotas.window =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>{
                from.number("quota_window_s", 0.1, 3600)});
    if (from.has("quota_over"))
        settings.quotas.over = from.number("quota_over", 0, max_ratio);
    if (from.has("quota_slack"))
        settings.quotas.slack =
            from.number("quota_slack", 0, max_extra_requests);
    from.finish();
}

gateway_settings read_settings(const json& document)
{
    object_reader from{document, ""};
    gateway_settings settings;
    auto instance = from.object("instance");
    settings.id = instance.text("id");
    settings.domain = instance.text("domain");
    settings.region = instance.text("region");
    settings.capacity = static_cast<std::uint32_t>(
        1000 * instance.number("cores", 0, max_cores));
    if (instance.has("memory_mb"))
        settings.memory_mb = static_cast<std::uint32_t>(
            instance.number("memory_mb", 0, max_memory_mb));
    instance.finish();
    settings.listen = read_listeners(from.object("listen"));
    settings.seeds = read_seeds(from, "seeds", settings.listen.peers.port);
    settings.store = read_address(from, "store");
    read_limits(from.object("limits"), settings);
    if (from.has("directory_ttl_s"))
        settings.directory_ttl =
            seconds{from.integer("directory_ttl_s", 1, 60)};
    from.finish();
    return settings;
}

} // namespace

result<gateway_settings> parse_gateway_settings(std::string_view text)
{
    auto document = parse_json(text, error_kind::config_invalid, true);
    if (!document)
        return tl::unexpected{document.error()};
    try {
        return read_settings(*document);
    }
    catch (const invalid_document& failure) {
        return fail(error_kind::config_invalid, failure.what());
    }
}

std::string
changed_settings(const gateway_settings& from, const gateway_settings& to)
{
    std::string names;
    const auto append_unless_equal = [&](bool equal, std::string_view name) {
        if (equal)
            return;
        names += names.empty() ? "" : ",";
        names += name;
    };
    append_unless_equal(from.id == to.id, "instance.id");
    append_unless_equal(from.domain == to.domain, "instance.domain");
    append_unless_equal(from.region == to.region, "instance.region");
    append_unless_equal(from.capacity == to.capacity, "instance.cores");
    append_unless_equal(from.memory_mb == to.memory_mb, "instance.memory_mb");
    append_unless_equal(from.listen == to.listen, "listen");
    append_unless_equal(from.seeds == to.seeds, "seeds");
    append_unless_equal(from.store == to.store, "store");
    append_unless_equal(from.retries == to.retries, "limits.repeat");
    append_unless_equal(from.cold_starts == to.cold_starts, "limits.cold");
    append_unless_equal(from.quotas == to.quotas, "limits.quota");
    append_unless_equal(
        from.shutdown_grace == to.shutdown_grace, "limits.grace_s");
    append_unless_equal(
        from.directory_ttl == to.directory_ttl, "directory_ttl_s");
    return names;
}

bool may_reload(const gateway_settings& from, const gateway_settings& to)
{
    return from.id == to.id && from.domain == to.domain &&
           from.region == to.region && from.capacity == to.capacity &&
           from.listen == to.listen && from.store == to.store;
}

result<gateway_settings> load_gateway_settings(const std::string& path)
{
    std::ifstream file{path};
    if (!file)
        return fail(error_kind::io_failed, path + ": cannot be read");
    const std::string text{
        std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    auto parsed = parse_gateway_settings(text);
    if (!parsed)
        return fail(parsed.error().kind, path + ": " + parsed.error().message);
    return parsed;
}

} // namespace peridotward
