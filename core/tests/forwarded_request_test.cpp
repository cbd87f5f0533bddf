#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/core/gather/record_merge.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

/// Services `s0`, `s1`, ... with replicas `s0-a`, `s0-b`, ... each.
struct forward_world
{
    random_source random{5};
    upstream_catalog catalog;
    replica_choice choice{catalog, cold_bounds{}, "d0", random};
    retry_ledger repeats{{0.2, 56, seconds{10}}};
    fleet_view fleet{"self", {}};
    latency_profile profile;
    forward_config_ptr config;
    forward_actions out;

    forward_world(
        std::uint32_t shards, std::uint32_t replicas, forward_route route)
    {
        repeats.started(start - seconds{60});
        auto built = std::make_shared<forward_config>();
        for (std::uint32_t s = 0; s < shards; ++s) {
            const auto name = "s" + std::to_string(s);
            built->services.push_back({name, "/", 20, {}, 0});
            for (std::uint32_t r = 0; r < replicas; ++r)
                publish(name, name + "-" + std::string(1, char('a' + r)));
        }
        route.name = "r";
        route.target_latency = milliseconds{100};
        if (shards == 1)
            route.targets = {{0, 1}};
        else
            for (std::uint32_t s = 0; s < shards; ++s)
                route.shards.push_back(s);
        built->routes.push_back(std::move(route));
        config = built;
        for (int i = 0; i < 100; ++i)
            profile.add(milliseconds{10});
    }

    void publish(const std::string& service, const std::string& id)
    {
        upstream_record record;
        record.id = id;
        record.service = service;
        record.address = {"10.0.0.1", 80};
        record.domain = "d0";
        record.slots = 4;
        catalog.publish(std::move(record), start);
    }

    [[nodiscard]] forward_context context()
    {
        return {&catalog, &choice, &repeats, &fleet};
    }

    [[nodiscard]] forwarded_request request()
    {
        const auto& route = config->routes.front();
        std::vector<forward_service_index> services = route.shards;
        if (services.empty())
            services.push_back(0);
        return {
            config,
            route,
            std::move(services),
            {start,
             start + milliseconds{90},
             start + milliseconds{580},
             start + milliseconds{600}}};
    }

    bool result(
        forwarded_request& request,
        std::uint32_t attempt,
        forward_outcome outcome,
        time_point now)
    {
        return request.on_result(
            attempt, outcome, context(), profile, now, out);
    }
};

forward_route idempotent(std::uint32_t attempts, double least = 1.0)
{
    forward_route route;
    route.safety = retry_safety::idempotent;
    route.max_attempts = attempts;
    route.min_shard_share = least;
    return route;
}

} // namespace

TEST_CASE("forwarding: all parts make a complete answer", "[forwarding]")
{
    forward_world world{10, 3, idempotent(2, 0.89)};
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    REQUIRE(world.out.sends.size() == 10);
    for (std::uint32_t i = 0; i < 10; ++i) {
        CHECK_FALSE(world.out.end);
        CHECK(world.result(
            request, i, forward_outcome::answered, start + milliseconds{9}));
    }
    CHECK(world.out.end == forward_end::complete);
}

TEST_CASE(
    "forwarding: a paused replica is overtaken by a hedge", "[forwarding]")
{
    forward_world world{10, 3, idempotent(2, 0.89)};
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    for (std::uint32_t i = 1; i < 10; ++i)
        world.result(
            request, i, forward_outcome::answered, start + milliseconds{9});
    const auto due = request.next_wakeup();
    CHECK(due < start + milliseconds{40});
    world.out.clear();
    request.on_timeout(world.context(), world.profile, due, world.out);
    REQUIRE(world.out.sends.size() == 1);
    CHECK(world.out.sends[0].part == 0);
    CHECK(world.out.sends[0].extra);
    CHECK(request.replica_of(10) != request.replica_of(0));
    CHECK(world.result(request, 10, forward_outcome::answered, due));
    CHECK(world.out.end == forward_end::complete);
    // The paused replica's own answer comes late and counts for nothing.
    CHECK_FALSE(world.result(
        request, 0, forward_outcome::answered, start + milliseconds{150}));
}

TEST_CASE(
    "forwarding: an answer in time goes without its last part", "[forwarding]")
{
    forward_world world{10, 1, idempotent(1, 0.89)};
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    for (std::uint32_t i = 1; i < 10; ++i)
        world.result(
            request, i, forward_outcome::answered, start + milliseconds{9});
    CHECK(request.next_wakeup() == start + milliseconds{90});
    request.on_timeout(
        world.context(), world.profile, start + milliseconds{90}, world.out);
    CHECK(world.out.end == forward_end::partial);
}

TEST_CASE("forwarding: too few parts are never an answer", "[forwarding]")
{
    forward_world world{10, 1, idempotent(1, 0.89)};
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    for (std::uint32_t i = 2; i < 10; ++i)
        world.result(
            request, i, forward_outcome::answered, start + milliseconds{9});
    request.on_timeout(
        world.context(), world.profile, start + milliseconds{90}, world.out);
    CHECK_FALSE(world.out.end);

    SECTION("late parts still make a late answer")
    {
        world.result(
            request, 0, forward_outcome::answered, start + milliseconds{200});
        CHECK(world.out.end == forward_end::partial);
    }
    SECTION("two lost parts end it at once")
    {
        world.result(
            request, 0, forward_outcome::broken, start + milliseconds{100});
        CHECK_FALSE(world.out.end);
        world.result(
            request, 1, forward_outcome::broken, start + milliseconds{101});
        CHECK(world.out.end == forward_end::failed);
    }
    SECTION("the time is over")
    {
        request.on_timeout(
            world.context(),
            world.profile,
            start + milliseconds{580},
            world.out);
        CHECK(world.out.end == forward_end::timed_out);
    }
}

TEST_CASE(
    "forwarding: a refusal is only said when nothing can run", "[forwarding]")
{
    forward_world world{3, 1, idempotent(1)};
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);

    SECTION("a part is still open")
    {
        world.result(request, 0, forward_outcome::refused, start);
        CHECK(world.out.end == forward_end::failed);
    }
}

TEST_CASE("times: a caller that tried before has less time", "[forwarding]")
{
    forward_route route;
    route.timeout = milliseconds{600};
    route.target_latency = milliseconds{100};
    request_deadlines deadlines;
    caller_timing caller{start, milliseconds{600}, milliseconds{6}};
    const auto first = deadlines.compute(route, caller);
    CHECK(first.full_value_until == start + milliseconds{100 - 6 - 5});
    CHECK(first.answer_deadline == start + milliseconds{588});

    caller.time_left = milliseconds{530};
    const auto second = deadlines.compute(route, caller);
    CHECK(second.full_value_until == start + milliseconds{100 - 70 - 6 - 5});
    CHECK(second.caller_deadline == start + milliseconds{530});

    caller.time_left = milliseconds{300};
    CHECK(deadlines.compute(route, caller).full_value_until < start);
}

TEST_CASE(
    "forwarding: what may run once goes on only after a refusal",
    "[forwarding]")
{
    forward_route once;
    once.safety = retry_safety::at_most_once;
    once.max_attempts = 2;
    forward_world world{1, 3, once};
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    REQUIRE(world.out.sends.size() == 1);
    world.out.clear();

    SECTION("a refusal says that it has not run")
    {
        world.result(request, 0, forward_outcome::refused, start);
        CHECK(world.out.sends.size() == 1);
        CHECK_FALSE(world.out.end);
    }
    SECTION("a broken connection says nothing")
    {
        world.result(request, 0, forward_outcome::broken, start);
        CHECK(world.out.sends.empty());
        CHECK(world.out.end == forward_end::failed);
    }
    SECTION("it is never hedged")
    {
        CHECK(request.next_wakeup() >= start + milliseconds{90});
        request.on_timeout(
            world.context(),
            world.profile,
            start + milliseconds{85},
            world.out);
        CHECK(world.out.sends.empty());
    }
    SECTION("refused by all: not run")
    {
        world.result(request, 0, forward_outcome::refused, start);
        world.result(request, 1, forward_outcome::refused, start);
        world.result(request, 2, forward_outcome::refused, start);
        CHECK(world.out.end == forward_end::not_run);
    }
}

TEST_CASE(
    "forwarding: without a replica the refusal comes at once", "[forwarding]")
{
    forward_world world{1, 1, idempotent(2)};
    world.catalog.bar_domain("d0", true);
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    CHECK(world.out.sends.empty());
    CHECK(world.out.end == forward_end::not_run);
}

TEST_CASE(
    "forwarding: no more replicas than attempts are allowed", "[forwarding]")
{
    forward_world world{1, 4, idempotent(2)};
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    world.result(request, 0, forward_outcome::broken, start);
    world.result(request, 1, forward_outcome::broken, start);
    CHECK(request.attempts() == 2);
    CHECK(world.out.end == forward_end::failed);
}

TEST_CASE("forwarding: unreachable replicas cost no repeat", "[forwarding]")
{
    forward_world world{1, 3, idempotent(2)};
    const auto before = world.repeats.left("s0", start);
    auto request = world.request();
    request.begin(world.context(), world.profile, start, world.out);
    world.result(request, 0, forward_outcome::unreachable, start);
    CHECK(request.attempts() == 2);
    CHECK(world.repeats.left("s0", start) >= before);
}

TEST_CASE(
    "choice: a silent, slow or failing replica is passed over", "[placement]")
{
    forward_world world{1, 3, idempotent(2)};
    const auto& service = world.config->services[0];
    const auto bad = world.catalog.of_service("s0").front();
    auto& health = world.catalog.at(bad).health;
    const auto now = start + milliseconds{100};
    const auto usual = world.profile.median();

    SECTION("silent")
    {
        health.on_sent(start);
    }
    SECTION("slow")
    {
        for (int i = 0; i < 5; ++i) {
            health.on_sent(start);
            health.on_answered(milliseconds{100}, usual, now);
        }
    }
    SECTION("failing")
    {
        for (int i = 0; i < 3; ++i) {
            health.on_sent(start);
            health.on_failed(now);
        }
    }
    SECTION("unreachable")
    {
        health.on_sent(start);
        health.on_unreachable(now);
    }
    for (int i = 0; i < 50; ++i)
        CHECK(world.choice.choose(service, {}, usual, world.fleet, now) != bad);
}

TEST_CASE("refusals: the next chance is that of the replicas", "[forwarding]")
{
    forward_world world{1, 2, idempotent(2)};
    const auto now = start + milliseconds{10};
    const auto refused_request = [&] {
        auto request = world.request();
        world.out.clear();
        request.begin(world.context(), world.profile, now, world.out);
        for (std::uint32_t i = 0; !world.out.end; ++i)
            world.result(request, i, forward_outcome::unreachable, now);
        CHECK(*world.out.end == forward_end::not_run);
        return request.next_chance(world.context(), now);
    };
    SECTION("no connection: the next try to connect")
    {
        // The wait before it grows with each try that fails.
        CHECK(refused_request() == now + milliseconds{100});
        CHECK(refused_request() == now + milliseconds{250});
    }
    SECTION("no replica: a replica's start")
    {
        world.catalog.withdraw("s0-a", start - seconds{10});
        world.catalog.withdraw("s0-b", start - seconds{10});
        world.catalog.expire(now);
        auto request = world.request();
        request.begin(world.context(), world.profile, now, world.out);
        CHECK(world.out.end == forward_end::not_run);
        CHECK(
            request.next_chance(world.context(), now) ==
            now + replica_choice::empty_wait);
    }
}

TEST_CASE("refusals: a cold service takes callers as it warms", "[forwarding]")
{
    forward_world world{1, 1, idempotent(1)};
    auto service = world.config->services[0];
    service.cold_rate = 4;
    auto& only = world.catalog.at(world.catalog.of_service("s0").front());
    only.cold_until = start + seconds{30};
    while (world.choice.choose(
        service, {}, milliseconds{10}, world.fleet, start)) {
    }
    const auto now = start + milliseconds{300};
    CHECK(
        world.choice.next_chance(service, world.fleet, now) ==
        start + seconds{1});
}

TEST_CASE("choice: a slow replica is tried again", "[placement]")
{
    forward_world world{1, 2, idempotent(2)};
    const auto& service = world.config->services[0];
    const auto bad = world.catalog.of_service("s0").front();
    auto& health = world.catalog.at(bad).health;
    for (int i = 0; i < 5; ++i) {
        health.on_sent(start);
        health.on_answered(milliseconds{100}, milliseconds{10}, start);
    }
    bool tried = false;
    for (int i = 0; i < 50; ++i)
        tried |= world.choice.choose(
                     service,
                     {},
                     milliseconds{10},
                     world.fleet,
                     start + seconds{10}) == bad;
    CHECK(tried);
}

TEST_CASE(
    "choice: a cold replica gets no more than its allowance", "[placement]")
{
    forward_world world{1, 1, idempotent(1)};
    auto service = world.config->services[0];
    service.cold_rate = 4;
    auto& only = world.catalog.at(world.catalog.of_service("s0").front());
    only.cold_until = start + seconds{3};
    int sent = 0;
    for (int i = 0; i < 100; ++i)
        sent += world.choice.choose(
                    service,
                    {},
                    milliseconds{10},
                    world.fleet,
                    start + milliseconds{i * 9})
                    ? 1
                    : 0;
    CHECK(sent == 11); // 4 a second, 1.5 times, and 5
}

TEST_CASE("merge: the greatest records, greatest first", "[merge]")
{
    const std::string low(16, 'a');
    const std::string high(16, '\xff');
    const std::string middle(16, 'b');
    const std::vector<std::string> bodies{
        low + high + "rest", middle + high, ""};
    CHECK(merge_records(bodies, 3) == high + high + middle);
    CHECK(merge_records(bodies, 9) == high + high + middle + low);
    CHECK(merge_records({}, 5).empty());
}
