#include <peridotward/base/object_reader.hpp>
#include <peridotward/gateway/gateway_settings.hpp>

#include <fstream>
#include <iterator>

namespace peridotward {

namespace {

constexpr double most_cores = 1024;
constexpr double most_ratio = 100;
constexpr double most_repeats = 1e6;

endpoint address_in(object_reader& from, std::string_view key)
{
    const auto text = from.text(key);
    auto parsed = parse_endpoint(text);
    if (!parsed)
        from.throw_invalid(key, parsed.error().message);
    return *parsed;
}

gateway_listeners listeners_in(object_reader from)
{
    gateway_listeners read;
    read.callers = address_in(from, "callers");
    read.ready = address_in(from, "ready");
    read.directory = address_in(from, "directory");
    read.control = address_in(from, "control");
    read.metrics = address_in(from, "metrics");
    read.peers = address_in(from, "peers");
    from.finish();
    return read;
}

/// Seeds are listed by another port of theirs; the peers' one is the same on
/// all instances.
std::vector<endpoint>
seeds_in(object_reader& from, std::string_view key, std::uint16_t port)
{
    std::vector<endpoint> seeds;
    for (const auto& entry : from.array(key)) {
        if (!entry.is_string())
            from.throw_invalid(key, "an element is not a text");
        auto parsed = parse_endpoint(entry.get<std::string>());
        if (!parsed)
            from.throw_invalid(key, parsed.error().message);
        seeds.push_back({parsed->host, port});
    }
    return seeds;
}

void read_limits(object_reader from, gateway_settings& into)
{
    into.repeats.ratio = from.number("repeat_ratio", 0, most_ratio);
    into.repeats.extra = from.number("repeat_extra", 0, most_repeats);
    into.repeats.window = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{from.number("repeat_window_s", 1, 3600)});
    into.cold.over = from.number("cold_over", 0, most_ratio);
    into.cold.slack = from.number("cold_slack", 0, most_repeats);
    into.grace = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{from.number("grace_s", 0, 3600)});
    from.finish();
}

gateway_settings read_settings(const json& document)
{
    object_reader from{document, ""};
    gateway_settings read;
    auto instance = from.object("instance");
    read.id = instance.text("id");
    read.domain = instance.text("domain");
    read.region = instance.text("region");
    read.capacity = static_cast<std::uint32_t>(
        1000 * instance.number("cores", 0, most_cores));
    instance.finish();
    read.listen = listeners_in(from.object("listen"));
    read.seeds = seeds_in(from, "seeds", read.listen.peers.port);
    read.store = address_in(from, "store");
    read_limits(from.object("limits"), read);
    if (from.has("directory_ttl_s"))
        read.directory_ttl = seconds{from.integer("directory_ttl_s", 1, 60)};
    from.finish();
    return read;
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
    const auto note = [&](bool same, std::string_view name) {
        if (same)
            return;
        names += names.empty() ? "" : ",";
        names += name;
    };
    note(from.id == to.id, "instance.id");
    note(from.domain == to.domain, "instance.domain");
    note(from.region == to.region, "instance.region");
    note(from.capacity == to.capacity, "instance.cores");
    note(from.listen == to.listen, "listen");
    note(from.seeds == to.seeds, "seeds");
    note(from.store == to.store, "store");
    note(from.repeats == to.repeats, "limits.repeat");
    note(from.cold == to.cold, "limits.cold");
    note(from.grace == to.grace, "limits.grace_s");
    note(from.directory_ttl == to.directory_ttl, "directory_ttl_s");
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
