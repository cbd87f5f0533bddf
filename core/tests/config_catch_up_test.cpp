#include <peridotward/core/discovery/config_catch_up.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

member_update member_of(const std::string& id)
{
    member_update update;
    update.id = id;
    update.incarnation = 1;
    update.ready = true;
    return update;
}

/// The view of instance `self` of two others.
struct three_instances
{
    membership members{member_of("self"), 1};
    config_catch_up catch_up;

    void hear(const std::string& from, std::uint64_t version)
    {
        probe message;
        message.config.version = version;
        message.updates.push_back(member_of(from));
        std::vector<outgoing_message> out;
        members.on_message(from, message, start, out);
    }

    /// \returns The instance that is asked `after` the start; empty if none is.
    [[nodiscard]] std::string ask(std::uint64_t version, milliseconds after)
    {
        return catch_up.check(members, version, start + after).value_or("");
    }
};

constexpr auto due = config_catch_up::tolerated_delay;

} // namespace

TEST_CASE(
    "config catch-up: an instance that stays behind asks one that is ahead",
    "[catch_up]")
{
    three_instances fleet;
    fleet.hear("a", 7);
    fleet.hear("b", 5);
    CHECK(fleet.ask(5, milliseconds{0}).empty());
    CHECK(fleet.ask(5, due - milliseconds{1}).empty());
    CHECK(fleet.ask(5, due) == "a");
    CHECK(fleet.ask(5, due + seconds{1}).empty());
    fleet.catch_up.finished(start + due + seconds{1});
    CHECK(fleet.ask(5, due + seconds{1}).empty());
    CHECK(fleet.ask(5, due + seconds{1} + config_catch_up::retry_pause) == "a");
}

TEST_CASE(
    "config catch-up: nothing is fetched while versions arrive by themselves",
    "[catch_up]")
{
    three_instances fleet;
    for (int step = 0; step < 20; ++step) {
        const auto version = static_cast<std::uint64_t>(step);
        fleet.hear("a", version + 1);
        CHECK(fleet.ask(version, step * milliseconds{700}).empty());
    }
    fleet.hear("a", 20);
    CHECK(fleet.ask(20, seconds{60}).empty());
    CHECK(fleet.ask(21, seconds{61}).empty());
}

TEST_CASE(
    "config catch-up: another member is asked after a failure", "[catch_up]")
{
    three_instances fleet;
    fleet.hear("a", 7);
    fleet.hear("b", 7);
    CHECK(fleet.ask(5, milliseconds{0}).empty());
    const auto first = fleet.ask(5, due);
    fleet.catch_up.finished(start + due);
    const auto second = fleet.ask(5, due + config_catch_up::retry_pause);
    CHECK_FALSE(first.empty());
    CHECK_FALSE(second.empty());
    CHECK(first != second);
}

TEST_CASE(
    "config catch-up: a service of a route without known upstreams is named",
    "[catch_up]")
{
    forward_config config;
    config.services.resize(3);
    config.services[0].name = "known";
    config.services[1].name = "unknown";
    config.services[2].name = "unused";
    forward_route route;
    route.targets = {{0, 1}};
    config.routes.push_back(route);
    upstream_catalog catalog;
    upstream_record record;
    record.id = "u";
    record.service = "known";
    catalog.publish(record, start);
    CHECK(service_without_upstreams(config, catalog).empty());
    route.targets.clear();
    route.shards = {0, 1};
    config.routes.push_back(route);
    CHECK(service_without_upstreams(config, catalog) == "unknown");
}
