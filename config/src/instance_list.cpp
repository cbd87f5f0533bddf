#include <peridotward/base/object_reader.hpp>
#include <peridotward/config/instance_list.hpp>

namespace peridotward {

namespace {

constexpr std::int64_t max_version = std::int64_t{1} << 53;

endpoint read_address(object_reader& reader, std::string_view key)
{
    auto parsed = parse_endpoint(reader.text(key));
    if (!parsed)
        reader.throw_invalid(key, parsed.error().message);
    return *parsed;
}

listed_instance read_instance(object_reader reader)
{
    listed_instance entry;
    entry.id = reader.text("id");
    entry.domain = reader.text("domain");
    entry.callers = read_address(reader, "callers");
    entry.peers = read_address(reader, "peers");
    entry.state = reader.choice_or("state", listed_state::live);
    reader.finish();
    return entry;
}

listed_upstream read_upstream(object_reader reader)
{
    listed_upstream entry;
    entry.id = reader.text("id");
    entry.state = reader.choice_or("state", listed_state::live);
    reader.finish();
    return entry;
}

instance_list read_list(const json& document)
{
    object_reader reader{document, ""};
    instance_list list;
    list.version =
        static_cast<std::uint64_t>(reader.integer("version", 0, max_version));
    for (const auto& value : reader.array("instances"))
        list.instances.push_back(
            read_instance(object_reader{value, "instances"}));
    if (reader.has("upstreams")) {
        for (const auto& value : reader.array("upstreams"))
            list.upstreams.push_back(
                read_upstream(object_reader{value, "upstreams"}));
    }
    reader.finish();
    return list;
}

} // namespace

result<instance_list> parse_instance_list(std::string_view text)
{
    const auto document = parse_json(text, error_kind::config_invalid);
    if (!document)
        return tl::unexpected{document.error()};
    try {
        return read_list(*document);
    }
    catch (const invalid_document& problem) {
        return fail(error_kind::config_invalid, problem.what());
    }
}

} // namespace peridotward
