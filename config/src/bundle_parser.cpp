#include <peridotward/base/object_reader.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/config/sha256.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace peridotward {

namespace {

constexpr std::int64_t max_key_space = std::int64_t{1} << 53;
constexpr std::int64_t max_snapshot = std::int64_t{1} << 53;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_deadline_ms = 60'000;

/// Builds a bundle from a document; throws invalid_document for errors.
class bundle_parser
{
public:
    bundle_ptr parse(const json& document)
    {
        object_reader reader{document, ""};
        bundle_->version = static_cast<bundle_version>(
            reader.integer("version", 1, max_snapshot));
        bundle_->deployment = reader.text("deployment");
        read_each(reader, "domains", &bundle_parser::read_domain);
        read_each(reader, "seats", &bundle_parser::read_configured_instance);
        if (reader.has("caller_classes"))
            read_each(reader, "caller_classes", &bundle_parser::read_class);
        read_each(reader, "services", &bundle_parser::read_service);
        read_each(reader, "upstreams", &bundle_parser::read_upstream);
        read_each(reader, "shard_maps", &bundle_parser::read_map);
        read_each(reader, "searches", &bundle_parser::read_search);
        reader.finish();
        check_services();
        bundle_->digest = canonical_digest(document);
        return bundle_;
    }

private:
    using entry_reader = void (bundle_parser::*)(object_reader&);

    void
    read_each(object_reader& reader, std::string_view key, entry_reader read)
    {
        std::size_t position = 0;
        for (const auto& value : reader.array(key)) {
            object_reader entry{
                value, std::string{key} + "[" + std::to_string(position) + "]"};
            (this->*read)(entry);
            entry.finish();
            ++position;
        }
        if (position == 0)
            reader.throw_invalid(key, "is empty");
    }

    /// Reads an id, which must not be in the table yet.
    template<class Entry>
    std::string
    read_id(object_reader& reader, const std::vector<Entry>& entries)
    {
        auto id = reader.text("id");
        const auto position = static_cast<std::uint32_t>(entries.size());
        if (!positions_[&entries].emplace(id, position).second)
            reader.throw_invalid("id", "\"" + id + "\" appears twice");
        return id;
    }

    /// Reads the id of an element that the table must have.
    template<class Index, class Entry>
    Index reference(
        object_reader& reader,
        std::string_view key,
        const std::vector<Entry>& entries)
    {
        const auto id = reader.text(key);
        const auto& known = positions_[&entries];
        const auto found = known.find(id);
        if (found == known.end())
            reader.throw_invalid(key, "\"" + id + "\" is not defined");
        return Index{found->second};
    }

    static std::uint32_t read_count(
        object_reader& reader,
        std::string_view key,
        std::int64_t low,
        std::int64_t high)
    {
        return static_cast<std::uint32_t>(reader.integer(key, low, high));
    }

    static key_range read_range(object_reader& reader, std::uint64_t key_space)
    {
        const auto& value = reader.array("range");
        const bool numbers = value.size() == 2 &&
                             value[0].is_number_unsigned() &&
                             value[1].is_number_unsigned();
        key_range range;
        if (numbers)
            range = {value[0].get<record_key>(), value[1].get<record_key>()};
        if (!numbers || range.empty() || range.last > key_space)
            reader.throw_invalid(
                "range",
                "expected [first, last) within 0.." +
                    std::to_string(key_space) + ", found " + value.dump());
        return range;
    }

    void read_domain(object_reader& reader)
    {
        failure_domain domain;
        domain.id = read_id(reader, bundle_->domains);
        domain.region = reader.text("region");
        domain.state = reader.choice_or("state", admin_state::in);
        domain.max_in_flight = static_cast<std::uint32_t>(
            reader.integer_or("max_in_flight", 1, 1 << 24, 0));
        bundle_->domains.push_back(std::move(domain));
    }

    void read_configured_instance(object_reader& reader)
    {
        configured_instance entry;
        entry.id = read_id(reader, bundle_->instances);
        entry.domain =
            reference<domain_index>(reader, "domain", bundle_->domains);
        bundle_->instances.push_back(std::move(entry));
    }

    void read_class(object_reader& reader)
    {
        caller_class entry;
        entry.id = read_id(reader, bundle_->classes);
        entry.priority = reader.choice_or("priority", caller_priority::normal);
        bundle_->classes.push_back(std::move(entry));
    }

    void read_service(object_reader& reader)
    {
        service entry;
        entry.id = read_id(reader, bundle_->services);
        entry.kind = reader.choice_or("kind", service_kind::search);
        entry.slots = read_count(reader, "slots", 1, max_slots);
        entry.connections =
            read_count(reader, "connections", entry.slots, max_slots);
        entry.cold_slots = read_count(reader, "cold_slots", 1, entry.slots);
        entry.connect_cost =
            milliseconds{reader.integer_or("connect_cost_ms", 0, 10'000, 1)};
        entry.cold_ramp = milliseconds{
            reader.integer_or("cold_ramp_ms", 1, 3'600'000, 10'000)};
        bundle_->services.push_back(std::move(entry));
    }

    void read_upstream(object_reader& reader)
    {
        upstream entry;
        entry.id = read_id(reader, bundle_->upstreams);
        entry.service =
            reference<service_index>(reader, "service", bundle_->services);
        entry.domain =
            reference<domain_index>(reader, "domain", bundle_->domains);
        const auto address = parse_endpoint(reader.text("address"));
        if (!address)
            reader.throw_invalid("address", address.error().message);
        entry.address = *address;
        if (!addresses_.insert(entry.address).second)
            reader.throw_invalid(
                "address", entry.address.text() + " appears twice");
        entry.state = reader.choice_or("state", admin_state::in);
        bundle_->services[entry.service.position()].upstreams.push_back(
            upstream_index{
                static_cast<std::uint32_t>(bundle_->upstreams.size())});
        bundle_->upstreams.push_back(std::move(entry));
    }

    void read_map(object_reader& reader)
    {
        shard_map map;
        map.id = reader.text("id");
        map.from_snapshot = static_cast<snapshot_id>(
            reader.integer("from_snapshot", 0, max_snapshot));
        map.key_space = static_cast<std::uint64_t>(
            reader.integer("key_space", 1, max_key_space));
        read_shards(reader, map);
        check_map_order(reader, map);
        bundle_->maps.push_back(std::move(map));
    }

    void read_shards(object_reader& reader, shard_map& map)
    {
        std::size_t position = 0;
        for (const auto& value : reader.array("shards")) {
            object_reader entry{
                value,
                reader.path() + ".shards[" + std::to_string(position) + "]"};
            shard added;
            added.service =
                reference<service_index>(entry, "service", bundle_->services);
            if (bundle_->at(added.service).kind != service_kind::search)
                entry.throw_invalid("service", "is not of kind \"search\"");
            added.range = read_range(entry, map.key_space);
            if (!map.shards.empty() &&
                added.range.first < map.shards.back().range.last)
                entry.throw_invalid(
                    "range", "overlaps or precedes the previous shard");
            entry.finish();
            map.shards.push_back(added);
            ++position;
        }
        if (map.shards.empty())
            reader.throw_invalid("shards", "is empty");
    }

    void check_map_order(object_reader& reader, const shard_map& map) const
    {
        for (const auto& previous : bundle_->maps) {
            if (previous.id != map.id)
                continue;
            if (previous.from_snapshot >= map.from_snapshot)
                reader.throw_invalid(
                    "from_snapshot",
                    std::to_string(map.from_snapshot) +
                        " is not higher than that of the previous map");
            if (previous.key_space != map.key_space)
                reader.throw_invalid(
                    "key_space",
                    std::to_string(map.key_space) +
                        " differs from that of the previous map");
        }
    }

    void read_search(object_reader& reader)
    {
        search entry;
        entry.id = read_id(reader, bundle_->searches);
        entry.map = reader.text("map");
        const auto map = std::find_if(
            bundle_->maps.begin(),
            bundle_->maps.end(),
            [&](const shard_map& candidate) {
                return candidate.id == entry.map;
            });
        if (map == bundle_->maps.end())
            reader.throw_invalid("map", "\"" + entry.map + "\" is not defined");
        entry.range = {0, map->key_space};
        if (reader.has("range"))
            entry.range = read_range(reader, map->key_space);
        if (reader.has("policy"))
            entry.policy = read_policy(reader.object("policy"));
        bundle_->searches.push_back(std::move(entry));
    }

    static search_policy read_policy(object_reader reader)
    {
        search_policy policy;
        policy.prefer = reader.choice_or("prefer", policy.prefer);
        policy.coverage_target =
            reader.number_or("coverage_target", 0.0, 1.0, 1.0);
        policy.max_deadline = milliseconds{reader.integer_or(
            "max_deadline_ms",
            1,
            max_deadline_ms,
            policy.max_deadline.count())};
        policy.default_deadline = milliseconds{reader.integer_or(
            "default_deadline_ms",
            1,
            policy.max_deadline.count(),
            std::min(policy.default_deadline, policy.max_deadline).count())};
        policy.max_queued = static_cast<std::uint32_t>(
            reader.integer_or("max_queued", 1, 65536, policy.max_queued));
        reader.finish();
        return policy;
    }

    void check_services() const
    {
        for (const auto& entry : bundle_->services) {
            if (entry.upstreams.empty())
                throw invalid_document{
                    "services: \"" + entry.id + "\" has no upstream"};
        }
    }

    std::shared_ptr<bundle> bundle_ = std::make_shared<bundle>();
    std::set<endpoint> addresses_;
    std::map<const void*, std::unordered_map<std::string, std::uint32_t>>
        positions_; ///< Of the elements of each table, by id.
};

} // namespace

result<bundle_ptr> build_bundle(const json& document)
{
    try {
        return bundle_parser{}.parse(document);
    }
    catch (const invalid_document& problem) {
        return fail(error_kind::config_invalid, problem.what());
    }
}

result<bundle_ptr> parse_bundle(std::string_view text)
{
    return parse_json(text, error_kind::config_invalid, true)
        .and_then(build_bundle);
}

std::string canonical_digest(const json& document)
{
    return sha256_hex(document.dump());
}

} // namespace peridotward
