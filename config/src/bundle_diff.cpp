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
        return std::move(diff_);
    }

private:
    void add_change(std::string text)
    {
        diff_.changes.push_back(std::move(text));
    }
    void add_warning(std::string text)
    {
        diff_.warnings.push_back(std::move(text));
    }

    /// Adds a change if two values differ; returns whether they do.
    template<class Value>
    bool compare_field(
        const std::string& owner, std::string_view name, Value was, Value is)
    {
        if (was == is)
            return false;
        add_change(owner + ": " + std::string{name} + " " + was + " to " + is);
        return true;
    }

    bool compare_field(
        const std::string& owner,
        std::string_view name,
        std::uint64_t was,
        std::uint64_t is)
    {
        return compare_field(
            owner, name, std::to_string(was), std::to_string(is));
    }

    bool compare_field(
        const std::string& owner,
        std::string_view name,
        milliseconds was,
        milliseconds is)
    {
        return compare_field(
            owner,
            name,
            std::to_string(was.count()) + " ms",
            std::to_string(is.count()) + " ms");
    }

    template<class Enum>
    bool compare_names(
        const std::string& owner, std::string_view name, Enum was, Enum is)
    {
        return compare_field(
            owner, name, std::string{name_of(was)}, std::string{name_of(is)});
    }

    /// Adds the removed and the added elements as changes and compares the
    /// others with `compare_both`; returns the number of elements that differ.
    template<class Element, class Both>
    std::size_t compare_elements(
        std::string_view kind,
        const std::vector<Element>& was,
        const std::vector<Element>& is,
        Both compare_both)
    {
        std::size_t changed = 0;
        const auto find = [](const auto& in, const std::string& id) {
            return std::find_if(
                in.begin(), in.end(), [&](const Element& element) {
                    return element.id == id;
                });
        };
        for (const auto& element : was) {
            if (find(is, element.id) != is.end())
                continue;
            add_change(
                std::string{kind} + " " + quote(element.id) + ": removed");
            ++changed;
        }
        for (const auto& element : is) {
            const auto old = find(was, element.id);
            if (old == was.end()) {
                add_change(
                    std::string{kind} + " " + quote(element.id) + ": added");
                ++changed;
            }
            else if (compare_both(
                         std::string{kind} + " " + quote(element.id),
                         *old,
                         element)) {
                ++changed;
            }
        }
        return changed;
    }

    void compare_versions()
    {
        compare_field("bundle", "version", before_->version, after_->version);
        if (after_->version <= before_->version)
            add_warning(
                "version " + std::to_string(after_->version) +
                " does not follow version " + std::to_string(before_->version) +
                ": instances refuse it");
        if (compare_field(
                "bundle",
                "deployment",
                before_->deployment,
                after_->deployment))
            add_warning("the deployment changes: instances refuse it");
    }

    void compare_domains()
    {
        const auto changed = compare_elements(
            "domain",
            before_->domains,
            after_->domains,
            [&](const std::string& owner, const auto& was, const auto& is) {
                const bool moved =
                    compare_field(owner, "region", was.region, is.region);
                const bool state =
                    compare_names(owner, "state", was.state, is.state);
                const bool limit = compare_field(
                    owner,
                    "max_in_flight",
                    std::uint64_t{was.max_in_flight},
                    std::uint64_t{is.max_in_flight});
                return moved || state || limit;
            });
        if (changed > 1)
            add_warning(
                std::to_string(changed) +
                " domains change at once, expected at most 1");
    }

    void compare_instances()
    {
        const auto changed = compare_elements(
            "seat",
            before_->instances,
            after_->instances,
            [&](const std::string& owner, const auto& was, const auto& is) {
                return compare_field(
                    owner,
                    "domain",
                    before_->domains[was.domain.position()].id,
                    after_->domains[is.domain.position()].id);
            });
        if (changed > 1)
            add_warning(
                std::to_string(changed) +
                " seats change at once, expected at most 1");
    }

    void compare_classes()
    {
        compare_elements(
            "caller class",
            before_->classes,
            after_->classes,
            [&](const std::string& owner, const auto& was, const auto& is) {
                return compare_names(
                    owner, "priority", was.priority, is.priority);
            });
    }

    bool compare_service(
        const std::string& owner, const service& was, const service& is)
    {
        const auto before = diff_.changes.size();
        const auto widen = [](std::uint32_t value) {
            return std::uint64_t{value};
        };
        compare_names(owner, "kind", was.kind, is.kind);
        compare_field(owner, "slots", widen(was.slots), widen(is.slots));
        compare_field(
            owner,
            "connections",
            widen(was.connections),
            widen(is.connections));
        compare_field(
            owner, "cold_slots", widen(was.cold_slots), widen(is.cold_slots));
        compare_field(owner, "connect_cost", was.connect_cost, is.connect_cost);
        compare_field(owner, "cold_ramp", was.cold_ramp, is.cold_ramp);
        return diff_.changes.size() > before;
    }

    void compare_services()
    {
        compare_elements(
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
            const auto before_count =
                old.valid() ? live_replicas(*before_, old) : 1;
            if (before_count > 0 && live_replicas(*after_, index) == 0)
                add_warning(
                    "service " + quote(entry.id) +
                    ": no upstream of it may get new requests any more");
        }
    }

    void compare_upstreams()
    {
        compare_elements(
            "upstream",
            before_->upstreams,
            after_->upstreams,
            [&](const std::string& owner, const auto& was, const auto& is) {
                const bool moved = compare_field(
                    owner,
                    "service",
                    before_->at(was.service).id,
                    after_->at(is.service).id);
                const bool domain = compare_field(
                    owner,
                    "domain",
                    before_->domains[was.domain.position()].id,
                    after_->domains[is.domain.position()].id);
                const bool state =
                    compare_names(owner, "state", was.state, is.state);
                const bool address = compare_field(
                    owner, "address", was.address.text(), is.address.text());
                if (address)
                    add_warning(
                        owner +
                        ": the address changes; requests sent to the old "
                        "address count towards the limit of the new one");
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
        const auto find = [](const bundle& in, const shard_map& sought) {
            return std::find_if(
                in.maps.begin(), in.maps.end(), [&](const shard_map& map) {
                    return map.id == sought.id &&
                           map.from_snapshot == sought.from_snapshot;
                });
        };
        for (const auto& map : before_->maps) {
            if (find(*after_, map) == after_->maps.end())
                add_change(map_name(map) + ": removed");
        }
        for (const auto& map : after_->maps) {
            const auto old = find(*before_, map);
            if (old == before_->maps.end()) {
                add_change(map_name(map) + ": added");
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
        compare_field(owner, "key_space", was.key_space, is.key_space);
        for (const auto& old : was.shards)
            compare_shard(owner, old, is);
        range_set covered;
        for (const auto& shard : is.shards)
            covered.add(shard.range);
        for (const auto& old : was.shards) {
            for (const auto gap : covered.missing(old.range))
                add_warning(
                    owner + ": keys " + range_text(gap) +
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
        const auto subject =
            owner + ": shard " + range_text(old.range) + " of " + quote(id);
        if (now.empty())
            add_change(subject + " removed");
        else if (now.size() > 1)
            add_change(subject + " split into " + std::to_string(now.size()));
        else if (now.front()->range != old.range)
            add_change(subject + " becomes " + range_text(now.front()->range));
        else if (after_->at(now.front()->service).id != id)
            add_change(
                subject + " moves to " +
                quote(after_->at(now.front()->service).id));
    }

    void compare_searches()
    {
        compare_elements(
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
        const auto before = diff_.changes.size();
        compare_field(owner, "map", was.map, is.map);
        compare_field(
            owner, "range", range_text(was.range), range_text(is.range));
        const auto& old = was.policy;
        const auto& now = is.policy;
        compare_names(owner, "prefer", old.prefer, now.prefer);
        compare_field(
            owner,
            "coverage_target",
            std::to_string(old.coverage_target),
            std::to_string(now.coverage_target));
        compare_field(
            owner,
            "default_deadline",
            old.default_deadline,
            now.default_deadline);
        compare_field(
            owner, "max_deadline", old.max_deadline, now.max_deadline);
        compare_field(
            owner,
            "max_queued",
            std::uint64_t{old.max_queued},
            std::uint64_t{now.max_queued});
        const auto before_count = slots_of_search(*before_, was);
        const auto after_count = slots_of_search(*after_, is);
        if (after_count < before_count)
            add_warning(
                owner + ": capacity falls from " +
                std::to_string(before_count) + " to " +
                std::to_string(after_count) + " slots");
        return diff_.changes.size() > before;
    }

    const bundle* before_;
    const bundle* after_;
    bundle_diff diff_;
};

} // namespace

bundle_diff diff_bundles(const bundle& before, const bundle& after)
{
    return comparer{before, after}.compare();
}

} // namespace peridotward
