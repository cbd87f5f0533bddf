#include "config_publisher.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::testing;

namespace {

constexpr duration max_spread_time = seconds{3};

bool all_have(config_fleet& fleet, bundle_version version)
{
    const auto& members = fleet.members();
    return std::all_of(members.begin(), members.end(), [&](const auto& entry) {
        const auto& current = entry->store->in_force();
        return current && current->version == version;
    });
}

bool all_settled(config_fleet& fleet)
{
    const auto& members = fleet.members();
    return std::all_of(members.begin(), members.end(), [&](const auto& entry) {
        return entry->store->settled(fleet.now());
    });
}

struct running_fleet
{
    explicit running_fleet(int size)
        : publisher{{4, 3, size, 3}}, fleet{size, publisher.policy(), 7}
    {
        publisher.publish(fleet, 1);
        fleet.start_all();
        fleet.run(seconds{5});
    }

    config_publisher publisher;
    config_fleet fleet;
};

} // namespace

TEST_CASE("config store - a new version is in force on all within 3 s")
{
    const auto size = GENERATE(8, 16, 32, 64);
    running_fleet test{size};
    REQUIRE(all_have(test.fleet, 1));
    REQUIRE(all_settled(test.fleet));
    const auto watching = std::count_if(
        test.fleet.members().begin(),
        test.fleet.members().end(),
        [](const auto& entry) { return entry->store->watches(); });
    CHECK(watching == 3);
    for (bundle_version version = 2; version < 6; ++version) {
        test.publisher.publish(test.fleet, version);
        test.fleet.run(max_spread_time);
        CHECK(all_have(test.fleet, version));
    }
}

TEST_CASE("config store - older values and a service outage are ignored")
{
    running_fleet test{8};
    test.publisher.publish(test.fleet, 3);
    test.fleet.run(max_spread_time);
    test.publisher.publish(test.fleet, 2);
    test.fleet.run(seconds{20});
    CHECK(all_have(test.fleet, 3));
    test.fleet.service.down = true;
    test.fleet.run(seconds{100});
    CHECK(all_have(test.fleet, 3));
    CHECK(all_settled(test.fleet));
}

TEST_CASE("config store - a second bundle of one version is refused")
{
    running_fleet test{8};
    test.publisher.publish(test.fleet, 2);
    test.fleet.run(max_spread_time);
    const auto digest = test.fleet.members()[0]->store->in_force()->digest;
    test.publisher.publish(test.fleet, 2, 1);
    test.fleet.run(seconds{10});
    std::uint64_t forks = 0;
    for (const auto& entry : test.fleet.members()) {
        CHECK(entry->store->in_force()->digest == digest);
        forks += entry->store->counters().forked;
    }
    CHECK(forks > 0);
    test.publisher.publish(test.fleet, 3);
    test.fleet.run(max_spread_time);
    CHECK(all_have(test.fleet, 3));
}

TEST_CASE("config store - a peer with another digest is reported as fork")
{
    running_fleet test{8};
    auto& store = *test.fleet.members()[1]->store;
    const auto own_summary = store.summary();
    CHECK(store.on_summary("pw-3", own_summary, test.fleet.now())
              .refusals.empty());
    const config_summary other_summary{
        own_summary.version, std::string(64, 'a'), 0};
    const auto reported =
        store.on_summary("pw-3", other_summary, test.fleet.now());
    REQUIRE(reported.refusals.size() == 1);
    CHECK(reported.refusals[0].kind == error_kind::config_forked);
    CHECK(reported.refusals[0].source == "pw-3");
    CHECK(store.summary().digest == own_summary.digest);
}

TEST_CASE("config store - an added signature reaches all instances")
{
    running_fleet test{8};
    const auto files = test.publisher.publish(test.fleet, 2);
    test.fleet.run(max_spread_time);
    const auto more = make_key_pair().value();
    config_publisher::sign_again(test.fleet, files.root, more);
    test.fleet.run(seconds{80});
    for (const auto& entry : test.fleet.members()) {
        const auto answer = entry->store->on_fetch(
            "pw-9", config_fetch{2, {}}, test.fleet.now());
        REQUIRE(answer.messages.size() == 1);
        const auto sent = std::get<config_part>(answer.messages[0].message);
        CHECK(parse_manifest(sent.bytes).value().signatures.size() == 2);
    }
}

TEST_CASE("config store - unsigned and incomplete bundles are not applied")
{
    running_fleet test{8};
    config_publisher unknown_publisher{{4, 3, 8, 3}};
    unknown_publisher.publish(test.fleet, 2);
    test.fleet.run(seconds{10});
    CHECK(all_have(test.fleet, 1));
    const auto& members = test.fleet.members();
    const bool reported =
        std::any_of(members.begin(), members.end(), [](const auto& entry) {
            const auto& refusals = entry->store->refusals();
            return !refusals.empty() &&
                   refusals.back().kind == error_kind::signature_invalid;
        });
    CHECK(reported);

    const auto files = test.publisher.publish(test.fleet, 3);
    test.fleet.service.unavailable = {files.root.parts[0].digest};
    test.fleet.run(seconds{1});
    // Watchers may have read the part before it became unavailable; no other
    // instance may apply an incomplete bundle.
    for (const auto& entry : test.fleet.members())
        CHECK(test.publisher.published(*entry->store->in_force()));
    test.fleet.service.unavailable.clear();
    test.fleet.run(seconds{20});
    CHECK(all_have(test.fleet, 3));
}

TEST_CASE("config store - a restart with a stale service gets version 2")
{
    running_fleet test{8};
    test.publisher.publish(test.fleet, 2);
    test.fleet.run(max_spread_time);
    test.fleet.service.stale = true;
    auto& restarted = *test.fleet.members()[3];
    test.fleet.start(restarted);
    CHECK_FALSE(restarted.store->settled(test.fleet.now()));
    CHECK(restarted.store->waiting_for(test.fleet.now()) != "");
    while (!restarted.store->settled(test.fleet.now()))
        test.fleet.run(milliseconds{10});
    CHECK(restarted.store->in_force()->version == 2);
}

TEST_CASE("config store - a resumed instance settles with the new version")
{
    running_fleet test{8};
    auto& paused = *test.fleet.members()[2];
    test.fleet.pause(paused);
    test.fleet.run(seconds{10});
    test.publisher.publish(test.fleet, 2);
    test.fleet.run(max_spread_time);
    CHECK_FALSE(paused.store->settled(test.fleet.now()));
    test.fleet.service.down = true;
    test.fleet.resume(paused);
    while (!paused.store->settled(test.fleet.now()))
        test.fleet.run(milliseconds{1});
    CHECK(paused.store->in_force()->version == 2);
    CHECK(paused.store->counters().pauses == 1);
}

TEST_CASE("config store - a partitioned instance settles after 2 to 4 s")
{
    running_fleet test{8};
    test.fleet.service.stale = false;
    auto& partitioned = *test.fleet.members()[0];
    partitioned.side = 1;
    test.fleet.start(partitioned);
    test.fleet.run(seconds{2});
    CHECK_FALSE(partitioned.store->settled(test.fleet.now()));
    test.fleet.run(seconds{2});
    CHECK(partitioned.store->settled(test.fleet.now()));
}

TEST_CASE("config store - without peers the service's bundle is applied")
{
    config_publisher publisher;
    config_store_options options;
    options.self = "pw-0";
    const time_point start{std::chrono::hours{1}};
    config_store store{options, start, 1};
    config_fleet unused_fleet{1, {}, 1};
    const auto files = publisher.publish(unused_fleet, 1);
    auto pending = store.on_tick(start).reads;
    for (int round = 0; round < 10 && !pending.empty(); ++round) {
        std::vector<config_read> next;
        for (const auto& read : pending) {
            config_read_result read_result;
            read_result.succeeded = true;
            read_result.value_version = 1;
            read_result.bytes = read.kind == config_read_kind::part
                                    ? files.parts.at(read.digest)
                                    : manifest_text(files.root);
            auto actions = store.on_read(read, read_result, start);
            CHECK(actions.messages.empty());
            next.insert(next.end(), actions.reads.begin(), actions.reads.end());
        }
        pending = next;
    }
    REQUIRE(store.in_force());
    CHECK(store.settled(start));
    CHECK(store.watches());
}
