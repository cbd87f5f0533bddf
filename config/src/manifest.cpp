#include <peridotward/base/object_reader.hpp>
#include <peridotward/config/manifest.hpp>
#include <peridotward/config/sha256.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr std::int64_t max_version = std::int64_t{1} << 53;
constexpr std::size_t digest_digits = 64;
constexpr std::size_t key_id_digits = 16;
constexpr std::size_t signature_digits = 128;
constexpr std::size_t max_signatures = 64;
constexpr std::size_t value_name_digits = 32;

/// Reads a string of exactly `digits` lower-case hexadecimal digits.
std::string
read_hex(object_reader& reader, std::string_view key, std::size_t digits)
{
    auto text = reader.text(key);
    const bool fits =
        text.size() == digits &&
        std::all_of(text.begin(), text.end(), [](char c) {
            return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
        });
    if (!fits)
        reader.throw_invalid(
            key,
            "expected " + std::to_string(digits) +
                " hexadecimal digits, found \"" + text.substr(0, digits) +
                "\"");
    return text;
}

std::string entry_path(std::string_view key, std::size_t position)
{
    return std::string{key} + "[" + std::to_string(position) + "]";
}

std::vector<part_ref> read_refs(object_reader& reader, std::string_view key)
{
    std::vector<part_ref> refs;
    const auto& values = reader.array(key);
    if (values.empty() || values.size() > max_listed_parts)
        reader.throw_invalid(
            key,
            "expected 1.." + std::to_string(max_listed_parts) +
                " entries, found " + std::to_string(values.size()));
    refs.reserve(values.size());
    for (const auto& value : values) {
        object_reader entry{value, entry_path(key, refs.size())};
        part_ref ref;
        ref.name = entry.text("name");
        ref.digest = read_hex(entry, "digest", digest_digits);
        ref.bytes = static_cast<std::size_t>(entry.integer(
            "bytes", 1, static_cast<std::int64_t>(max_value_bytes)));
        entry.finish();
        refs.push_back(std::move(ref));
    }
    return refs;
}

std::vector<manifest_signature> read_signatures(object_reader& reader)
{
    std::vector<manifest_signature> signatures;
    const auto& values = reader.array("signatures");
    if (values.size() > max_signatures)
        reader.throw_invalid(
            "signatures",
            "expected up to " + std::to_string(max_signatures) +
                " entries, found " + std::to_string(values.size()));
    for (const auto& value : values) {
        object_reader entry{value, entry_path("signatures", signatures.size())};
        manifest_signature signature;
        signature.key = read_hex(entry, "key", key_id_digits);
        signature.signature = read_hex(entry, "signature", signature_digits);
        entry.finish();
        signatures.push_back(std::move(signature));
    }
    return signatures;
}

manifest read_manifest(const json& document)
{
    object_reader reader{document, ""};
    manifest root;
    root.version =
        static_cast<bundle_version>(reader.integer("version", 1, max_version));
    root.deployment = reader.text("deployment");
    root.digest = read_hex(reader, "digest", digest_digits);
    root.parts = read_refs(reader, "parts");
    root.signatures = read_signatures(reader);
    reader.finish();
    return root;
}

std::vector<part_ref> read_part_list(const json& document)
{
    object_reader reader{document, "list of parts"};
    auto refs = read_refs(reader, "parts");
    reader.finish();
    return refs;
}

json refs_json(const std::vector<part_ref>& refs)
{
    json values = json::array();
    for (const auto& ref : refs)
        values.push_back(
            {{"name", ref.name}, {"digest", ref.digest}, {"bytes", ref.bytes}});
    return values;
}

json signed_json(const manifest& root)
{
    return {
        {"version", root.version},
        {"deployment", root.deployment},
        {"digest", root.digest},
        {"parts", refs_json(root.parts)},
    };
}

/// Parses `text` and passes the document to `read`; returns a thrown
/// `invalid_document` as an error.
template<class Read>
auto read_document(std::string_view text, Read read)
    -> result<decltype(read(json{}))>
{
    if (text.size() > max_value_bytes)
        return fail(
            error_kind::config_invalid,
            "longer than " + std::to_string(max_value_bytes) +
                " bytes: " + std::to_string(text.size()));
    const auto document = parse_json(text, error_kind::config_invalid);
    if (!document)
        return tl::unexpected{document.error()};
    try {
        return read(*document);
    }
    catch (const invalid_document& problem) {
        return fail(error_kind::config_invalid, problem.what());
    }
}

} // namespace

result<manifest> parse_manifest(std::string_view text)
{
    return read_document(text, read_manifest);
}

std::string manifest_text(const manifest& root)
{
    auto document = signed_json(root);
    document["signatures"] = json::array();
    for (const auto& entry : root.signatures)
        document["signatures"].push_back(
            {{"key", entry.key}, {"signature", entry.signature}});
    return document.dump();
}

std::string signing_digest(const manifest& root)
{
    return sha256_hex(signed_json(root).dump());
}

result<std::vector<part_ref>> parse_part_list(std::string_view text)
{
    return read_document(text, read_part_list);
}

std::string part_list_text(const std::vector<part_ref>& parts)
{
    return json{{"parts", refs_json(parts)}}.dump();
}

std::string
part_value_name(std::string_view bundle_name, std::string_view digest)
{
    return std::string{bundle_name} + "." +
           std::string{digest.substr(0, value_name_digits)};
}

} // namespace peridotward
