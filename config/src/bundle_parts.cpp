#include <peridotward/base/hash.hpp>
#include <peridotward/config/bundle_parts.hpp>
#include <peridotward/config/sha256.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace peridotward {

namespace {

/// Sections whose entries are spread over parts, in the order of a bundle.
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
/// Lengths in bytes between which a group of entries ends.
struct chunk_bounds
{
    std::size_t shortest;
    std::size_t longest;
};

constexpr chunk_bounds part_bounds{1024, 2560};
constexpr chunk_bounds list_bounds{1536, 3584};

/// One entry in this number may end a group that is long enough.
constexpr std::uint64_t boundary_share = 6;

/// Gathers texts into groups whose ends depend on the texts' own ids.
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
        if (chunks_.empty() || closed_) {
            chunks_.push_back({std::string{id}, {}});
            bytes_ = 0;
        }
        bytes_ += text.size();
        chunks_.back().texts.push_back(std::move(text));
        const bool boundary = hash_of(id) % boundary_share == 0;
        closed_ = bytes_ >= bounds_.longest ||
                  (boundary && bytes_ >= bounds_.shortest);
    }

    [[nodiscard]] const std::vector<chunk>& chunks() const noexcept
    {
        return chunks_;
    }

private:
    chunk_bounds bounds_;
    std::vector<chunk> chunks_;
    std::size_t bytes_ = 0;
    bool closed_ = false;
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

/// Turns one document into parts.
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
                split_entries(std::string{section}, document.at(section));
        }
        write_lists();
    }

private:
    /// An entry without its own id is told apart by its text.
    static std::string id_of(const json& entry)
    {
        return entry.contains("id") ? entry.at("id").get<std::string>()
                                    : entry.at("service").get<std::string>();
    }

    void split_entries(const std::string& name, const json& entries)
    {
        chunker groups{part_bounds};
        for (const auto& entry : entries)
            groups.add(id_of(entry), entry.dump());
        for (const auto& group : groups.chunks())
            refs_.push_back(add_part(
                files_->parts, name + "/" + group.first_id, join(group.texts)));
    }

    /// A map is one part without shards, then parts of its shards.
    void split_maps(const json& maps)
    {
        for (const auto& map : maps) {
            auto head = map;
            head[shards_key] = json::array();
            const auto name = id_of(map) + "@" + map.at("from_snapshot").dump();
            refs_.push_back(add_part(
                files_->parts,
                "shard_maps/" + name,
                json::array({head}).dump()));
            split_entries("shards/" + name, map.at(shards_key));
        }
    }

    void write_lists()
    {
        chunker groups{list_bounds};
        std::size_t position = 0;
        for (const auto& ref : refs_)
            groups.add(ref.name, part_list_text({ref}));
        for (const auto& group : groups.chunks()) {
            const auto first = refs_.begin() + static_cast<long>(position);
            const auto last = first + static_cast<long>(group.texts.size());
            files_->root.parts.push_back(add_part(
                files_->parts, group.first_id, part_list_text({first, last})));
            position += group.texts.size();
        }
    }

    bundle_files* files_;
    std::vector<part_ref> refs_;
};

/// Puts the entries of one part where they belong.
void append_part(json& document, const part_ref& ref, const json& entries)
{
    if (!entries.is_array())
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
                "part \"" + ref.name + "\": follows no shard map"};
        target = &document["shard_maps"].back()[shards_key];
    }
    if (target->is_null())
        *target = json::array();
    if (!target->is_array())
        throw std::invalid_argument{
            "part \"" + ref.name + "\": does not fit the parts before it"};
    target->insert(target->end(), entries.begin(), entries.end());
}

std::string quoted(const part_ref& ref)
{
    return "part \"" + ref.name + "\" (" + ref.digest.substr(0, 16) + ")";
}

/// \returns The references of all lists that are there, in order.
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
                quoted(list) + ": " + refs.error().message);
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
    const std::vector<part_ref>& wanted,
    const part_map& parts,
    std::vector<part_ref>& missing)
{
    std::set<std::string_view> seen;
    for (const auto& ref : wanted) {
        if (!parts.contains(ref.digest) && seen.insert(ref.digest).second)
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

result<void> check_part(const part_ref& wanted, std::string_view bytes)
{
    if (bytes.size() != wanted.bytes)
        return fail(
            error_kind::config_invalid,
            quoted(wanted) + ": expected " + std::to_string(wanted.bytes) +
                " bytes, found " + std::to_string(bytes.size()));
    if (sha256_hex(bytes) != wanted.digest)
        return fail(
            error_kind::config_invalid,
            quoted(wanted) + ": the bytes have another digest");
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
            quoted(missing->front()) + " is missing");
    json document{{"version", root.version}, {"deployment", root.deployment}};
    const auto listed = listed_parts(root, parts).value();
    for (const auto& ref : listed) {
        const auto entries = parse_json(
            parts.find(ref.digest)->second, error_kind::config_invalid);
        if (!entries)
            return fail(
                error_kind::config_invalid,
                quoted(ref) + ": " + entries.error().message);
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
                ", the manifest says " + root.digest);
    return built;
}

void keep_only(part_map& parts, const manifest& root)
{
    std::set<std::string, std::less<>> named;
    for (const auto& list : root.parts)
        named.insert(list.digest);
    if (const auto listed = listed_parts(root, parts)) {
        for (const auto& ref : *listed)
            named.insert(ref.digest);
    }
    std::erase_if(
        parts, [&](const auto& entry) { return !named.contains(entry.first); });
}

} // namespace peridotward
