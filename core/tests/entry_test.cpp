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

/// Makes a bundle with one service of `count` upstreams; the upstream with the
/// index `out`, if any, is in the admin state "out".
bundle_ptr make_entries_bundle(std::uint32_t count, std::uint32_t out)
{
    auto built = std::make_shared<bundle>();
    built->domains.push_back({"d", "r", admin_state::in, 0});
    service entries;
    entries.id = "billing";
    entries.kind = service_kind::entries;
    for (std::uint32_t i = 0; i < count; ++i) {
        upstream added;
        added.id = "billing-" + std::to_string(i);
        added.service = service_index{0};
        added.domain = domain_index{0};
        added.state = i == out ? admin_state::out : admin_state::in;
        entries.upstreams.push_back(upstream_index{i});
        built->upstreams.push_back(added);
    }
    built->services.push_back(entries);
    return built;
}

} // namespace

TEST_CASE("entry id - the issue time is the number before the dash")
{
    CHECK(issue_time("1234-x") == wall_time{milliseconds{1234}});
    CHECK_FALSE(issue_time("1234"));
    CHECK_FALSE(issue_time("1234-"));
    CHECK_FALSE(issue_time("x-1234"));
    CHECK_FALSE(issue_time("-5-x"));
}

TEST_CASE("entry window - an id runs once and the next owner refuses it")
{
    entry_window owner;
    owner.begin_ownership(start);
    const auto later = start + seconds{10};
    const auto id = id_at(later);
    const auto never = wall_time::min();
    CHECK(owner.admit(id, never, later) == entry_decision::run);
    CHECK(owner.admit(id, never, later) == entry_decision::duplicate);
    CHECK(
        owner.admit(id, never, later + seconds{61}) ==
        entry_decision::duplicate);
    entry_window successor;
    successor.begin_ownership(later + milliseconds{1});
    CHECK(
        successor.admit(id, never, later + seconds{5}) ==
        entry_decision::expired);
    CHECK(
        successor.admit(id_at(later + seconds{5}), never, later + seconds{5}) ==
        entry_decision::run);
}

TEST_CASE("entry window - ids before ownership, too old or too new are refused")
{
    entry_window owner;
    const auto never = wall_time::min();
    CHECK(owner.admit(id_at(start), never, start) == entry_decision::expired);
    owner.begin_ownership(start - seconds{100});
    CHECK(
        owner.admit(id_at(start - seconds{61}), never, start) ==
        entry_decision::expired);
    CHECK(
        owner.admit(id_at(start + seconds{2}), never, start) ==
        entry_decision::expired);
    CHECK(owner.admit("no-time", never, start) == entry_decision::malformed);
}

TEST_CASE("entry window - a withdrawn id is accepted; the window is bounded")
{
    entry_window_limits limits;
    limits.max_ids = 10;
    entry_window owner{limits};
    owner.begin_ownership(start - seconds{100});
    const auto never = wall_time::min();
    for (int i = 0; i < 10; ++i)
        CHECK(
            owner.admit(id_at(start, std::to_string(i)), never, start) ==
            entry_decision::run);
    CHECK(owner.admit(id_at(start, "x"), never, start) == entry_decision::full);
    owner.withdraw(id_at(start, "3"));
    CHECK(owner.admit(id_at(start, "3"), never, start) == entry_decision::run);
    const auto over = start + seconds{63};
    CHECK(owner.admit(id_at(over, "y"), never, over) == entry_decision::run);
    CHECK(owner.size() == 1);
}

TEST_CASE("entry router - only ids of the removed upstream move")
{
    entry_router router{seconds{120}};
    router.on_bundle(make_entries_bundle(5, 5), start);
    std::map<std::string, upstream_index> before;
    for (int i = 0; i < 200; ++i) {
        const auto id = id_at(start, std::to_string(i));
        before[id] = router.route("billing", id);
        CHECK(router.moved_at("billing", id) == wall_time::min());
    }
    const auto change = start + seconds{1};
    router.on_bundle(make_entries_bundle(5, 2), change);
    for (const auto& [id, index] : before) {
        const bool removed = index.value == 2;
        CHECK((router.route("billing", id) != index) == removed);
        CHECK((router.moved_at("billing", id) == change) == removed);
    }
    router.on_bundle(make_entries_bundle(5, 2), change + seconds{200});
    for (const auto& [id, index] : before)
        CHECK(router.moved_at("billing", id) == wall_time::min());
}

TEST_CASE("entry window - random owner changes and clock errors never run an "
          "id twice")
{
    // Owners whose clocks differ by up to the limit replace each other, and
    // callers with such clocks send ids repeatedly. An owner that accepts an
    // id from before its ownership period would run the entry a second time.
    random_source random{11};
    const auto skew = [&] {
        return milliseconds{static_cast<int>(random.below(1001)) - 500};
    };
    std::map<std::string, int> runs;
    std::vector<std::string> issued;
    wall_time now = start;
    entry_window owner;
    milliseconds owner_skew = skew();
    owner.begin_ownership(now + owner_skew);
    std::uint64_t accepted = 0;
    for (int step = 0; step < 20'000; ++step) {
        now += milliseconds{random.below(40)};
        if (random.below(200) == 0) {
            owner = entry_window{};
            owner_skew = skew();
            owner.begin_ownership(now + owner_skew);
        }
        if (issued.empty() || random.below(2) == 0)
            issued.push_back(id_at(now + skew(), std::to_string(step)));
        const auto recent = std::min<std::size_t>(issued.size(), 400);
        const auto& id = issued[issued.size() - 1 - random.below(recent)];
        if (owner.admit(id, wall_time::min(), now + owner_skew) ==
            entry_decision::run) {
            ++accepted;
            CHECK(++runs[id] == 1);
        }
    }
    CHECK(accepted > 1000);
}

TEST_CASE(
    "instance selector - own domain first, unusable never, callers spread "
    "evenly")
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
