#include <peridotward/base/hash.hpp>
#include <peridotward/config/bundle_parts.hpp>
#include <peridotward/config/sha256.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace peridotward {

namespace {

/// Sections whose elements are divided into parts, in the order of a bundle.
constexpr std::array<std::string_view, 7> sections{
    "domains",
    "seats",
    "caller_classes",
    "services",
    "upstreams",
    "shard_maps",
    "searches",
};

constexpr std::string_view shards_key = "shards";

/// Minimum and maximum size in bytes at which a chunk ends.
struct chunk_bounds
{
    std::size_t min_bytes;
    std::size_t max_bytes;
};

constexpr chunk_bounds part_bounds{1024, 2560};
constexpr chunk_bounds list_bounds{1536, 3584};

/// One of this many elements, by hash of its id, may end a chunk that has the
/// minimum size.
constexpr std::uint64_t boundary_period = 6;

/// Content-defined chunking: groups texts into chunks whose boundaries depend
/// on the hashes of the texts' ids.
class chunker
{
public:
    struct chunk
    {
        std::string first_id;
        std::vector<std::string> texts;
    };

    explicit chunker(chunk_bounds bounds) : bounds_{bounds} {}

    void add(std::string_view id, std::string text)
    {
        if (chunks_.empty() || complete_) {
            chunks_.push_back({std::string{id}, {}});
            bytes_ = 0;
        }
        bytes_ += text.size();
        chunks_.back().texts.push_back(std::move(text));
        const bool boundary = hash_of(id) % boundary_period == 0;
        complete_ = bytes_ >= bounds_.max_bytes ||
                    (boundary && bytes_ >= bounds_.min_bytes);
    }

    [[nodiscard]] const std::vector<chunk>& chunks() const noexcept
    {
        return chunks_;
    }

private:
    chunk_bounds bounds_;
    std::vector<chunk> chunks_;
    std::size_t bytes_ = 0;
    bool complete_ = false;
};

std::string join(const std::vector<std::string>& texts)
{
    std::string joined = "[";
    for (const auto& text : texts) {
        if (joined.size() > 1)
            joined += ',';
        joined += text;
    }
    return joined + "]";
}

part_ref add_part(part_map& parts, std::string name, std::string bytes)
{
    part_ref ref{std::move(name), sha256_hex(bytes), bytes.size()};
    parts.emplace(ref.digest, std::move(bytes));
    return ref;
}

/// Splits one document into parts and lists of parts.
class splitter
{
public:
    explicit splitter(bundle_files& files) : files_{&files} {}

    void split(const json& document)
    {
        for (const auto section : sections) {
            if (!document.contains(section))
                continue;
            if (section == "shard_maps")
                split_maps(document.at(section));
            else
                split_elements(std::string{section}, document.at(section));
        }
        write_lists();
    }

private:
    /// A shard has no id of its own; the id of its service is used.
    static std::string id_of(const json& element)
    {
        return element.contains("id")
                   ? element.at("id").get<std::string>()
                   : element.at("service").get<std::string>();
    }

    void split_elements(const std::string& name, const json& elements)
    {
        chunker builder{part_bounds};
        for (const auto& element : elements)
            builder.add(id_of(element), element.dump());
        for (const auto& chunk : builder.chunks())
            refs_.push_back(add_part(
                files_->parts, name + "/" + chunk.first_id, join(chunk.texts)));
    }

    /// A shard map becomes one part without shards, followed by parts with its
    /// shards.
    void split_maps(const json& maps)
    {
        for (const auto& map : maps) {
            auto map_without_shards = map;
            map_without_shards[shards_key] = json::array();
            const auto name = id_of(map) + "@" + map.at("from_snapshot").dump();
            refs_.push_back(add_part(
                files_->parts,
                "shard_maps/" + name,
                json::array({map_without_shards}).dump()));
            split_elements("shards/" + name, map.at(shards_key));
        }
    }

    void write_lists()
    {
        chunker builder{list_bounds};
        std::size_t position = 0;
        for (const auto& ref : refs_)
            builder.add(ref.name, part_list_text({ref}));
        for (const auto& chunk : builder.chunks()) {
            const auto first = refs_.begin() + static_cast<long>(position);
            const auto last = first + static_cast<long>(chunk.texts.size());
            files_->root.parts.push_back(add_part(
                files_->parts, chunk.first_id, part_list_text({first, last})));
            position += chunk.texts.size();
        }
    }

    bundle_files* files_;
    std::vector<part_ref> refs_;
};

/// Appends the elements of one part to their section, or shards to the last
/// shard map.
void append_part(json& document, const part_ref& ref, const json& elements)
{
    if (!elements.is_array())
        throw std::invalid_argument{
            "part \"" + ref.name + "\": expected an array"};
    const auto section = ref.name.substr(0, ref.name.find('/'));
    auto* target = &document[section];
    if (section == shards_key) {
        document.erase(section);
        if (!document.contains("shard_maps") ||
            document["shard_maps"].empty() ||
            !document["shard_maps"].back().is_object())
            throw std::invalid_argument{
                "part \"" + ref.name + "\": expected a shard map before it"};
        target = &document["shard_maps"].back()[shards_key];
    }
    if (target->is_null())
        *target = json::array();
    if (!target->is_array())
        throw std::invalid_argument{
            "part \"" + ref.name + "\": does not fit the parts before it"};
    target->insert(target->end(), elements.begin(), elements.end());
}

std::string describe(const part_ref& ref)
{
    return "part \"" + ref.name + "\" (" + ref.digest.substr(0, 16) + ")";
}

/// Returns the references in all lists that `parts` has, in order.
result<std::vector<part_ref>>
listed_parts(const manifest& root, const part_map& parts)
{
    std::vector<part_ref> listed;
    std::size_t bytes = 0;
    for (const auto& list : root.parts) {
        const auto found = parts.find(list.digest);
        if (found == parts.end())
            continue;
        const auto refs = parse_part_list(found->second);
        if (!refs)
            return fail(
                error_kind::config_invalid,
                describe(list) + ": " + refs.error().message);
        for (const auto& ref : *refs) {
            bytes += ref.bytes;
            if (bytes > max_bundle_bytes)
                return fail(
                    error_kind::config_invalid,
                    "the bundle is longer than " +
                        std::to_string(max_bundle_bytes) + " bytes");
            listed.push_back(ref);
        }
    }
    return listed;
}

void add_missing(
    const std::vector<part_ref>& refs,
    const part_map& parts,
    std::vector<part_ref>& missing)
{
    std::set<std::string_view> added;
    for (const auto& ref : refs) {
        if (!parts.contains(ref.digest) && added.insert(ref.digest).second)
            missing.push_back(ref);
    }
}

} // namespace

result<bundle_files> split_bundle(const json& document)
{
    const auto checked = build_bundle(document);
    if (!checked)
        return tl::unexpected{checked.error()};
    bundle_files files;
    files.root.version = (*checked)->version;
    files.root.deployment = (*checked)->deployment;
    files.root.digest = (*checked)->digest;
    splitter{files}.split(document);
    return files;
}

result<void> check_part(const part_ref& ref, std::string_view bytes)
{
    if (bytes.size() != ref.bytes)
        return fail(
            error_kind::config_invalid,
            describe(ref) + ": expected " + std::to_string(ref.bytes) +
                " bytes, found " + std::to_string(bytes.size()));
    if (sha256_hex(bytes) != ref.digest)
        return fail(
            error_kind::config_invalid,
            describe(ref) + ": the digest of the bytes differs");
    return {};
}

result<std::vector<part_ref>>
missing_parts(const manifest& root, const part_map& parts)
{
    std::vector<part_ref> missing;
    add_missing(root.parts, parts, missing);
    const auto listed = listed_parts(root, parts);
    if (!listed)
        return tl::unexpected{listed.error()};
    add_missing(*listed, parts, missing);
    return missing;
}

result<json> assemble_document(const manifest& root, const part_map& parts)
{
    const auto missing = missing_parts(root, parts);
    if (!missing)
        return tl::unexpected{missing.error()};
    if (!missing->empty())
        return fail(
            error_kind::config_invalid,
            describe(missing->front()) + " is missing");
    json document{{"version", root.version}, {"deployment", root.deployment}};
    const auto listed = listed_parts(root, parts).value();
    for (const auto& ref : listed) {
        const auto entries = parse_json(
            parts.find(ref.digest)->second, error_kind::config_invalid);
        if (!entries)
            return fail(
                error_kind::config_invalid,
                describe(ref) + ": " + entries.error().message);
        try {
            append_part(document, ref, *entries);
        }
        catch (const std::exception& problem) {
            return fail(error_kind::config_invalid, problem.what());
        }
    }
    return document;
}

result<bundle_ptr> assemble_bundle(const manifest& root, const part_map& parts)
{
    const auto document = assemble_document(root, parts);
    if (!document)
        return tl::unexpected{document.error()};
    auto built = build_bundle(*document);
    if (built && (*built)->digest != root.digest)
        return fail(
            error_kind::config_invalid,
            "version " + std::to_string(root.version) +
                ": the parts have the digest " + (*built)->digest +
                ", the manifest expects " + root.digest);
    return built;
}

void remove_unreferenced(part_map& parts, const manifest& root)
{
    std::set<std::string, std::less<>> referenced;
    for (const auto& list : root.parts)
        referenced.insert(list.digest);
    if (const auto listed = listed_parts(root, parts)) {
        for (const auto& ref : *listed)
            referenced.insert(ref.digest);
    }
    std::erase_if(parts, [&](const auto& entry) {
        return !referenced.contains(entry.first);
    });
}

} // namespace peridotward
