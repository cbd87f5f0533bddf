#include <peridotward/base/range_set.hpp>
#include <peridotward/config/bundle_capacity.hpp>
#include <peridotward/config/bundle_diff.hpp>

#include <algorithm>
#include <limits>

namespace peridotward {

namespace {

constexpr snapshot_id newest = std::numeric_limits<snapshot_id>::max();

std::string quote(std::string_view id)
{
    return "\"" + std::string{id} + "\"";
}

std::string range_text(key_range range)
{
    return "[" + std::to_string(range.first) + ", " +
           std::to_string(range.last) + ")";
}

/// Compares two bundles section by section.
class comparer
{
public:
    comparer(const bundle& before, const bundle& after)
        : before_{&before}, after_{&after}
    {}

    bundle_diff compare()
    {
        compare_versions();
        compare_domains();
        compare_instances();
        compare_classes();
        compare_services();
        compare_upstreams();
        compare_maps();
        compare_searches();
        return std::move(found_);
    }

private:
    void change(std::string text) { found_.changes.push_back(std::move(text)); }
    void warn(std::string text) { found_.warnings.push_back(std::move(text)); }

    /// Notes a number or name that differs; returns whether it does.
    template<class Value>
    bool
    field(const std::string& owner, std::string_view name, Value was, Value is)
    {
        if (was == is)
            return false;
        change(owner + ": " + std::string{name} + " " + was + " to " + is);
        return true;
    }

    bool field(
        const std::string& owner,
        std::string_view name,
        std::uint64_t was,
        std::uint64_t is)
    {
        return field(owner, name, std::to_string(was), std::to_string(is));
    }

    bool field(
        const std::string& owner,
        std::string_view name,
        milliseconds was,
        milliseconds is)
    {
        return field(
            owner,
            name,
            std::to_string(was.count()) + " ms",
            std::to_string(is.count()) + " ms");
    }

    template<class Enum>
    bool
    named(const std::string& owner, std::string_view name, Enum was, Enum is)
    {
        return field(
            owner, name, std::string{name_of(was)}, std::string{name_of(is)});
    }

    /// Notes entries that come and go, and hands the others to `both`.
    template<class Entry, class Both>
    std::size_t entries(
        std::string_view kind,
        const std::vector<Entry>& was,
        const std::vector<Entry>& is,
        Both both)
    {
        std::size_t changed = 0;
        const auto find = [](const auto& in, const std::string& id) {
            return std::find_if(in.begin(), in.end(), [&](const Entry& entry) {
                return entry.id == id;
            });
        };
        for (const auto& entry : was) {
            if (find(is, entry.id) != is.end())
                continue;
            change(std::string{kind} + " " + quote(entry.id) + ": removed");
            ++changed;
        }
        for (const auto& entry : is) {
            const auto old = find(was, entry.id);
            if (old == was.end()) {
                change(std::string{kind} + " " + quote(entry.id) + ": added");
                ++changed;
            }
            else if (both(
                         std::string{kind} + " " + quote(entry.id),
                         *old,
                         entry)) {
                ++changed;
            }
        }
        return changed;
    }

    void compare_versions()
    {
        field("bundle", "version", before_->version, after_->version);
        if (after_->version <= before_->version)
            warn(
                "version " + std::to_string(after_->version) +
                " does not follow version " + std::to_string(before_->version) +
                ": no instance takes it");
        if (field(
                "bundle",
                "deployment",
                before_->deployment,
                after_->deployment))
            warn("the deployment changes: no instance takes it");
    }

    void compare_domains()
    {
        const auto changed = entries(
            "domain",
            before_->domains,
            after_->domains,
            [&](const std::string& owner, const auto& was, const auto& is) {
                const bool moved =
                    field(owner, "region", was.region, is.region);
                const bool state = named(owner, "state", was.state, is.state);
                const bool limit = field(
                    owner,
                    "max_in_flight",
                    std::uint64_t{was.max_in_flight},
                    std::uint64_t{is.max_in_flight});
                return moved || state || limit;
            });
        if (changed > 1)
            warn(
                std::to_string(changed) +
                " domains change at once, expected at most 1");
    }

    void compare_instances()
    {
        const auto changed = entries(
            "seat",
            before_->instances,
            after_->instances,
            [&](const std::string& owner, const auto& was, const auto& is) {
                return field(
                    owner,
                    "domain",
                    before_->domains[was.domain.position()].id,
                    after_->domains[is.domain.position()].id);
            });
        if (changed > 1)
            warn(
                std::to_string(changed) +
                " seats change at once, expected at most 1");
    }

    void compare_classes()
    {
        entries(
            "caller class",
            before_->classes,
            after_->classes,
            [&](const std::string& owner, const auto& was, const auto& is) {
                return named(owner, "priority", was.priority, is.priority);
            });
    }

    bool compare_service(
        const std::string& owner, const service& was, const service& is)
    {
        const auto before = found_.changes.size();
        const auto wide = [](std::uint32_t value) {
            return std::uint64_t{value};
        };
        named(owner, "kind", was.kind, is.kind);
        field(owner, "slots", wide(was.slots), wide(is.slots));
        field(
            owner, "connections", wide(was.connections), wide(is.connections));
        field(owner, "cold_slots", wide(was.cold_slots), wide(is.cold_slots));
        field(owner, "connect_cost", was.connect_cost, is.connect_cost);
        field(owner, "cold_ramp", was.cold_ramp, is.cold_ramp);
        return found_.changes.size() > before;
    }

    void compare_services()
    {
        entries(
            "service",
            before_->services,
            after_->services,
            [&](const std::string& owner, const auto& was, const auto& is) {
                return compare_service(owner, was, is);
            });
        for (std::uint32_t i = 0; i < after_->services.size(); ++i) {
            const service_index index{i};
            const auto& entry = after_->at(index);
            const auto old = before_->find_service(entry.id);
            const auto had = old.valid() ? live_replicas(*before_, old) : 1;
            if (had > 0 && live_replicas(*after_, index) == 0)
                warn(
                    "service " + quote(entry.id) +
                    ": no upstream of it takes work any more");
        }
    }

    void compare_upstreams()
    {
        entries(
            "upstream",
            before_->upstreams,
            after_->upstreams,
            [&](const std::string& owner, const auto& was, const auto& is) {
                const bool moved = field(
                    owner,
                    "service",
                    before_->at(was.service).id,
                    after_->at(is.service).id);
                const bool domain = field(
                    owner,
                    "domain",
                    before_->domains[was.domain.position()].id,
                    after_->domains[is.domain.position()].id);
                const bool state = named(owner, "state", was.state, is.state);
                const bool address = field(
                    owner, "address", was.address.text(), is.address.text());
                if (address)
                    warn(
                        owner +
                        ": the address changes; work sent to the old one "
                        "counts for the new one");
                return moved || domain || state || address;
            });
    }

    static std::string map_name(const shard_map& map)
    {
        return "shard map " + quote(map.id) + " from snapshot " +
               std::to_string(map.from_snapshot);
    }

    void compare_maps()
    {
        const auto find = [](const bundle& in, const shard_map& wanted) {
            return std::find_if(
                in.maps.begin(), in.maps.end(), [&](const shard_map& map) {
                    return map.id == wanted.id &&
                           map.from_snapshot == wanted.from_snapshot;
                });
        };
        for (const auto& map : before_->maps) {
            if (find(*after_, map) == after_->maps.end())
                change(map_name(map) + ": removed");
        }
        for (const auto& map : after_->maps) {
            const auto old = find(*before_, map);
            if (old == before_->maps.end()) {
                change(map_name(map) + ": added");
                if (const auto* last = before_->map_at(map.id, newest))
                    compare_shards(map_name(map), *last, map);
            }
            else {
                compare_shards(map_name(map), *old, map);
            }
        }
    }

    void compare_shards(
        const std::string& owner, const shard_map& was, const shard_map& is)
    {
        field(owner, "key_space", was.key_space, is.key_space);
        for (const auto& old : was.shards)
            compare_shard(owner, old, is);
        range_set covered;
        for (const auto& shard : is.shards)
            covered.add(shard.range);
        for (const auto& old : was.shards) {
            for (const auto hole : covered.missing(old.range))
                warn(
                    owner + ": keys " + range_text(hole) +
                    " are served by no shard any more");
        }
    }

    void compare_shard(
        const std::string& owner, const shard& old, const shard_map& is)
    {
        std::vector<const shard*> now;
        for (const auto& shard : is.shards) {
            if (!intersect(shard.range, old.range).empty())
                now.push_back(&shard);
        }
        const auto id = before_->at(old.service).id;
        const auto what =
            owner + ": shard " + range_text(old.range) + " of " + quote(id);
        if (now.empty())
            change(what + " removed");
        else if (now.size() > 1)
            change(what + " split into " + std::to_string(now.size()));
        else if (now.front()->range != old.range)
            change(what + " becomes " + range_text(now.front()->range));
        else if (after_->at(now.front()->service).id != id)
            change(
                what + " moves to " +
                quote(after_->at(now.front()->service).id));
    }

    void compare_searches()
    {
        entries(
            "search",
            before_->searches,
            after_->searches,
            [&](const std::string& owner, const auto& was, const auto& is) {
                return compare_search(owner, was, is);
            });
    }

    bool compare_search(
        const std::string& owner, const search& was, const search& is)
    {
        const auto before = found_.changes.size();
        field(owner, "map", was.map, is.map);
        field(owner, "range", range_text(was.range), range_text(is.range));
        const auto& old = was.policy;
        const auto& now = is.policy;
        named(owner, "prefer", old.prefer, now.prefer);
        field(
            owner,
            "coverage_target",
            std::to_string(old.coverage_target),
            std::to_string(now.coverage_target));
        field(
            owner,
            "default_deadline",
            old.default_deadline,
            now.default_deadline);
        field(owner, "max_deadline", old.max_deadline, now.max_deadline);
        field(
            owner,
            "max_queued",
            std::uint64_t{old.max_queued},
            std::uint64_t{now.max_queued});
        const auto had = slots_of_search(*before_, was);
        const auto has = slots_of_search(*after_, is);
        if (has < had)
            warn(
                owner + ": capacity falls from " + std::to_string(had) +
                " to " + std::to_string(has) + " slots");
        return found_.changes.size() > before;
    }

    const bundle* before_;
    const bundle* after_;
    bundle_diff found_;
};

} // namespace

bundle_diff diff_bundles(const bundle& before, const bundle& after)
{
    return comparer{before, after}.compare();
}

} // namespace peridotward
