#include <peridotward/base/object_reader.hpp>
#include <peridotward/config/settings.hpp>

#include <fstream>
#include <sstream>

namespace peridotward {

namespace {

constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::int64_t max_bytes = 64 << 20;

endpoint read_endpoint(object_reader& reader, std::string_view key)
{
    auto parsed = parse_endpoint(reader.text(key));
    if (!parsed)
        reader.throw_invalid(key, parsed.error().message);
    return *parsed;
}

milliseconds
read_ms(object_reader& reader, std::string_view key, milliseconds fallback)
{
    return milliseconds{
        reader.integer_or(key, 1, max_timeout_ms, fallback.count())};
}

identity_settings read_identity(object_reader reader)
{
    identity_settings identity;
    identity.id = reader.text("id");
    identity.domain = reader.text("domain");
    identity.region = reader.text_or("region", "");
    reader.finish();
    return identity;
}

listener_settings read_listener(object_reader reader)
{
    listener_settings listener;
    listener.address = read_endpoint(reader, "address");
    listener.threads =
        static_cast<std::uint32_t>(reader.integer_or("threads", 1, 64, 1));
    listener.max_request_bytes = static_cast<std::size_t>(reader.integer_or(
        "max_request_bytes",
        1024,
        max_bytes,
        static_cast<std::int64_t>(listener.max_request_bytes)));
    listener.header_timeout =
        read_ms(reader, "header_timeout_ms", listener.header_timeout);
    listener.body_timeout =
        read_ms(reader, "body_timeout_ms", listener.body_timeout);
    reader.finish();
    return listener;
}

peer_settings read_peers(object_reader reader)
{
    peer_settings peers;
    peers.address = read_endpoint(reader, "address");
    peers.max_frame_bytes = static_cast<std::size_t>(reader.integer_or(
        "max_frame_bytes",
        4096,
        max_bytes,
        static_cast<std::int64_t>(peers.max_frame_bytes)));
    peers.key_file = reader.text_or("key_file", "");
    peers.test_filter = reader.flag_or("test_filter", false);
    reader.finish();
    return peers;
}

platform_settings read_platform(object_reader reader)
{
    platform_settings platform;
    platform.configuration = read_endpoint(reader, "configuration");
    platform.instance_list = read_endpoint(reader, "instance_list");
    platform.bundle_name = reader.text_or("bundle_name", platform.bundle_name);
    platform.poll_interval =
        read_ms(reader, "poll_interval_ms", platform.poll_interval);
    platform.join_wait = read_ms(reader, "join_wait_ms", platform.join_wait);
    reader.finish();
    return platform;
}

sign_off_settings read_sign_off(object_reader reader)
{
    sign_off_settings sign_off;
    for (const auto& file : reader.array("key_files")) {
        if (!file.is_string())
            reader.throw_invalid("key_files", "expected file names");
        sign_off.key_files.push_back(file.get<std::string>());
    }
    sign_off.required = static_cast<std::uint32_t>(reader.integer(
        "required", 1, static_cast<std::int64_t>(sign_off.key_files.size())));
    reader.finish();
    return sign_off;
}

trust_settings read_trust(object_reader reader)
{
    trust_settings trust;
    trust.default_class = reader.text_or("default_class", "");
    trust.require_token = reader.flag_or("require_token", false);
    if (reader.has("tokens")) {
        for (const auto& value : reader.array("tokens")) {
            object_reader entry{value, "trust.tokens"};
            caller_token token;
            token.sha256 = entry.text("sha256");
            token.caller_class = entry.text("class");
            entry.finish();
            trust.tokens.push_back(std::move(token));
        }
    }
    reader.finish();
    return trust;
}

log_settings read_log(object_reader reader)
{
    log_settings log;
    log.level = reader.text_or("level", log.level);
    log.file = reader.text_or("file", "");
    reader.finish();
    return log;
}

limit_settings read_limits(object_reader reader)
{
    limit_settings limits;
    limits.max_queries = static_cast<std::uint32_t>(
        reader.integer_or("max_queries", 1, 1'000'000, limits.max_queries));
    limits.entries_max_age =
        read_ms(reader, "entries_max_age_ms", limits.entries_max_age);
    limits.stop_limit = read_ms(reader, "stop_limit_ms", limits.stop_limit);
    limits.recent_queries = static_cast<std::uint32_t>(
        reader.integer_or("recent_queries", 0, 65536, limits.recent_queries));
    reader.finish();
    return limits;
}

settings read_settings(const json& document)
{
    object_reader reader{document, ""};
    settings parsed;
    parsed.instance = read_identity(reader.object("instance"));
    parsed.callers = read_listener(reader.object("callers"));
    parsed.operators = read_listener(reader.object("operators"));
    parsed.peers = read_peers(reader.object("peers"));
    parsed.platform = read_platform(reader.object("platform"));
    if (reader.has("sign_off"))
        parsed.sign_off = read_sign_off(reader.object("sign_off"));
    if (reader.has("trust"))
        parsed.trust = read_trust(reader.object("trust"));
    if (reader.has("log"))
        parsed.log = read_log(reader.object("log"));
    if (reader.has("limits"))
        parsed.limits = read_limits(reader.object("limits"));
    reader.finish();
    return parsed;
}

} // namespace

result<settings> parse_settings(std::string_view text)
{
    const auto document = parse_json(text, error_kind::config_invalid, true);
    if (!document)
        return tl::unexpected{document.error()};
    try {
        return read_settings(*document);
    }
    catch (const invalid_document& problem) {
        return fail(error_kind::config_invalid, problem.what());
    }
}

result<std::string> read_file(const std::filesystem::path& path)
{
    std::ifstream stream{path, std::ios::binary};
    std::ostringstream contents;
    contents << stream.rdbuf();
    if (!stream)
        return fail(
            error_kind::io_failed,
            "file \"" + path.string() + "\" cannot be read");
    return std::move(contents).str();
}

result<settings> load_settings(const std::filesystem::path& path)
{
    return read_file(path)
        .and_then(parse_settings)
        .map_error([&](const error& cause) {
            return error{cause.kind, path.string() + ": " + cause.message};
        });
}

} // namespace peridotward
