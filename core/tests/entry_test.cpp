#include <peridotward/base/random.hpp>
#include <peridotward/core/entries/entry_id.hpp>
#include <peridotward/core/entries/entry_router.hpp>
#include <peridotward/core/entries/entry_window.hpp>
#include <peridotward/core/membership/instance_selector.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace peridotward;

namespace {

constexpr wall_time start{milliseconds{1'800'000'000'000}};

std::string id_at(wall_time issued, std::string_view rest = "a")
{
    return std::to_string(issued.time_since_epoch().count()) + "-" +
           std::string{rest};
}

/// A bundle with one service of `count` upstreams, those in `out` left out.
bundle_ptr entries_bundle(std::uint32_t count, std::uint32_t out)
{
    auto built = std::make_shared<bundle>();
    built->domains.push_back({"d", "r", admin_state::in, 0});
    service entries;
    entries.id = "billing";
    entries.kind = service_kind::entries;
    for (std::uint32_t i = 0; i < count; ++i) {
        upstream entry;
        entry.id = "billing-" + std::to_string(i);
        entry.service = service_index{0};
        entry.domain = domain_index{0};
        entry.state = i == out ? admin_state::out : admin_state::in;
        entries.upstreams.push_back(upstream_index{i});
        built->upstreams.push_back(entry);
    }
    built->services.push_back(entries);
    return built;
}

} // namespace

TEST_CASE("entry id - the time is read from the front")
{
    CHECK(issue_time("1234-x") == wall_time{milliseconds{1234}});
    CHECK_FALSE(issue_time("1234"));
    CHECK_FALSE(issue_time("1234-"));
    CHECK_FALSE(issue_time("x-1234"));
    CHECK_FALSE(issue_time("-5-x"));
}

TEST_CASE("entry window - an id runs once and a fresh owner refuses it")
{
    entry_window owner;
    owner.begin_tenure(start);
    const auto later = start + seconds{10};
    const auto id = id_at(later);
    const auto never = wall_time::min();
    CHECK(owner.admit(id, never, later) == entry_verdict::run);
    CHECK(owner.admit(id, never, later) == entry_verdict::duplicate);
    CHECK(
        owner.admit(id, never, later + seconds{61}) ==
        entry_verdict::duplicate);
    entry_window successor;
    successor.begin_tenure(later + milliseconds{1});
    CHECK(
        successor.admit(id, never, later + seconds{5}) ==
        entry_verdict::expired);
    CHECK(
        successor.admit(id_at(later + seconds{5}), never, later + seconds{5}) ==
        entry_verdict::run);
}

TEST_CASE("entry window - ids without a tenure, too old or too new are refused")
{
    entry_window owner;
    const auto never = wall_time::min();
    CHECK(owner.admit(id_at(start), never, start) == entry_verdict::expired);
    owner.begin_tenure(start - seconds{100});
    CHECK(
        owner.admit(id_at(start - seconds{61}), never, start) ==
        entry_verdict::expired);
    CHECK(
        owner.admit(id_at(start + seconds{2}), never, start) ==
        entry_verdict::expired);
    CHECK(owner.admit("no-time", never, start) == entry_verdict::malformed);
}

TEST_CASE("entry window - a withdrawn id may run, and memory is bounded")
{
    entry_window_limits limits;
    limits.max_ids = 10;
    entry_window owner{limits};
    owner.begin_tenure(start - seconds{100});
    const auto never = wall_time::min();
    for (int i = 0; i < 10; ++i)
        CHECK(
            owner.admit(id_at(start, std::to_string(i)), never, start) ==
            entry_verdict::run);
    CHECK(owner.admit(id_at(start, "x"), never, start) == entry_verdict::full);
    owner.withdraw(id_at(start, "3"));
    CHECK(owner.admit(id_at(start, "3"), never, start) == entry_verdict::run);
    const auto over = start + seconds{63};
    CHECK(owner.admit(id_at(over, "y"), never, over) == entry_verdict::run);
    CHECK(owner.size() == 1);
}

TEST_CASE("entry router - only ids of the upstream that left move")
{
    entry_router router{seconds{120}};
    router.on_bundle(entries_bundle(5, 5), start);
    std::map<std::string, upstream_index> before;
    for (int i = 0; i < 200; ++i) {
        const auto id = id_at(start, std::to_string(i));
        before[id] = router.route("billing", id);
        CHECK(router.moved_at("billing", id) == wall_time::min());
    }
    const auto change = start + seconds{1};
    router.on_bundle(entries_bundle(5, 2), change);
    for (const auto& [id, index] : before) {
        const bool left = index.value == 2;
        CHECK((router.route("billing", id) != index) == left);
        CHECK((router.moved_at("billing", id) == change) == left);
    }
    router.on_bundle(entries_bundle(5, 2), change + seconds{200});
    for (const auto& [id, index] : before)
        CHECK(router.moved_at("billing", id) == wall_time::min());
}

TEST_CASE("entry window - no schedule of owners runs an id twice")
{
    // Owners with clocks that are wrong by up to the limit take over from
    // each other; callers repeat ids at will, with wrong clocks as well.
    random_source random{11};
    const auto skew = [&] {
        return milliseconds{static_cast<int>(random.below(1001)) - 500};
    };
    std::map<std::string, int> runs;
    std::vector<std::string> issued;
    wall_time now = start;
    entry_window owner;
    milliseconds owner_skew = skew();
    owner.begin_tenure(now + owner_skew);
    std::uint64_t accepted = 0;
    for (int step = 0; step < 20'000; ++step) {
        now += milliseconds{random.below(40)};
        if (random.below(200) == 0) {
            owner = entry_window{};
            owner_skew = skew();
            owner.begin_tenure(now + owner_skew);
        }
        if (issued.empty() || random.below(2) == 0)
            issued.push_back(id_at(now + skew(), std::to_string(step)));
        const auto recent = std::min<std::size_t>(issued.size(), 400);
        const auto& id = issued[issued.size() - 1 - random.below(recent)];
        if (owner.admit(id, wall_time::min(), now + owner_skew) ==
            entry_verdict::run) {
            ++accepted;
            CHECK(++runs[id] == 1);
        }
    }
    CHECK(accepted > 1000);
}

TEST_CASE("entry selector - near first, unusable never, callers spread")
{
    std::vector<instance_candidate> candidates;
    for (int i = 0; i < 8; ++i)
        candidates.push_back(
            {"i" + std::to_string(i),
             i % 2 == 0 ? "near" : "far",
             {"10.0.0.1", 80},
             i != 4});
    std::map<std::string, int> first;
    for (int caller = 0; caller < 3000; ++caller) {
        const auto order =
            order_instances(candidates, std::to_string(caller), "near");
        REQUIRE(order.size() == 7);
        CHECK(order[0].domain == "near");
        CHECK(order[2].domain == "near");
        CHECK(order[3].domain == "far");
        ++first[order[0].id];
    }
    CHECK(first.size() == 3);
    for (const auto& [id, count] : first)
        CHECK(std::abs(count - 1000) < 150);
}
