#include <peridotward/core/gather/forwarded_request.hpp>
#include <peridotward/core/gather/record_merge.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

/// Services `s0`, `s1`, ... with the replicas `s0-a`, `s0-b`, ..., and one
/// route to them.
struct forward_fixture
{
    random_source random{5};
    upstream_catalog catalog;
    replica_selector selector{catalog, cold_bounds{}, "d0", random};
    retry_budgets budgets{{0.2, 56, seconds{10}}};
    fleet_view fleet{"self", {}, {}, {}};
    latency_profile profile;
    forward_config_ptr config;
    forward_actions out;

    forward_fixture(
        std::uint32_t shards, std::uint32_t replicas, forward_route route)
    {
        budgets.started(start - seconds{60});
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

    void publish(
        const std::string& service,
        const std::string& id,
        std::uint64_t revision = 1)
    {
        upstream_record record;
        record.position.revision = revision;
        record.id = id;
        record.service = service;
        record.address = {id, 80};
        record.domain = "d0";
        record.slots = 4;
        catalog.publish(std::move(record), start);
    }

    [[nodiscard]] forward_context context()
    {
        return {&catalog, &selector, &budgets, &fleet};
    }

    [[nodiscard]] forwarded_request make_request()
    {
        const auto& route = config->routes.front();
        std::vector<forward_service_index> services = route.shards;
        if (services.empty())
            services.push_back(0);
        return {
            pinned_route{config, 0},
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

forward_route
idempotent(std::uint32_t max_attempts, double min_shard_share = 1.0)
{
    forward_route route;
    route.safety = retry_safety::idempotent;
    route.max_attempts = max_attempts;
    route.min_shard_share = min_shard_share;
    return route;
}

} // namespace

TEST_CASE(
    "forwarding: a request with all parts answered is complete", "[forwarding]")
{
    forward_fixture fixture{10, 3, idempotent(2, 0.89)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    REQUIRE(fixture.out.sends.size() == 10);
    for (std::uint32_t i = 0; i < 10; ++i) {
        CHECK_FALSE(fixture.out.end);
        CHECK(fixture.result(
            request, i, forward_outcome::answered, start + milliseconds{9}));
    }
    CHECK(fixture.out.end == forward_end::complete);
}

TEST_CASE(
    "forwarding: a hedge answers the part of a paused replica", "[forwarding]")
{
    forward_fixture fixture{10, 3, idempotent(2, 0.89)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    for (std::uint32_t i = 1; i < 10; ++i)
        fixture.result(
            request, i, forward_outcome::answered, start + milliseconds{9});
    const auto due = request.next_wakeup();
    CHECK(due < start + milliseconds{40});
    fixture.out.clear();
    request.on_timeout(fixture.context(), fixture.profile, due, fixture.out);
    REQUIRE(fixture.out.sends.size() == 1);
    CHECK(fixture.out.sends[0].part == 0);
    CHECK(fixture.out.sends[0].extra);
    CHECK(request.replica_of(10) != request.replica_of(0));
    CHECK(fixture.result(request, 10, forward_outcome::answered, due));
    CHECK(fixture.out.end == forward_end::complete);
    // The answer of the paused replica arrives late and is ignored.
    CHECK_FALSE(fixture.result(
        request, 0, forward_outcome::answered, start + milliseconds{150}));
}

TEST_CASE(
    "forwarding: with enough parts a partial answer is sent at "
    "full_value_until",
    "[forwarding]")
{
    forward_fixture fixture{10, 1, idempotent(1, 0.89)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    for (std::uint32_t i = 1; i < 10; ++i)
        fixture.result(
            request, i, forward_outcome::answered, start + milliseconds{9});
    CHECK(request.next_wakeup() == start + milliseconds{90});
    request.on_timeout(
        fixture.context(),
        fixture.profile,
        start + milliseconds{90},
        fixture.out);
    CHECK(fixture.out.end == forward_end::partial);
}

TEST_CASE(
    "forwarding: with too few parts no partial answer is sent", "[forwarding]")
{
    forward_fixture fixture{10, 1, idempotent(1, 0.89)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    for (std::uint32_t i = 2; i < 10; ++i)
        fixture.result(
            request, i, forward_outcome::answered, start + milliseconds{9});
    request.on_timeout(
        fixture.context(),
        fixture.profile,
        start + milliseconds{90},
        fixture.out);
    CHECK_FALSE(fixture.out.end);

    SECTION("a part after the target latency leads to a partial answer")
    {
        fixture.result(
            request, 0, forward_outcome::answered, start + milliseconds{200});
        CHECK(fixture.out.end == forward_end::partial);
    }
    SECTION("two failed parts end the request at once")
    {
        fixture.result(
            request, 0, forward_outcome::broken, start + milliseconds{100});
        CHECK_FALSE(fixture.out.end);
        fixture.result(
            request, 1, forward_outcome::broken, start + milliseconds{101});
        CHECK(fixture.out.end == forward_end::failed);
    }
    SECTION("the answer deadline ends the request")
    {
        request.on_timeout(
            fixture.context(),
            fixture.profile,
            start + milliseconds{580},
            fixture.out);
        CHECK(fixture.out.end == forward_end::timed_out);
    }
}

TEST_CASE(
    "forwarding: not_run is reported only if no part can still run",
    "[forwarding]")
{
    forward_fixture fixture{3, 1, idempotent(1)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);

    SECTION("with open attempts the request fails")
    {
        for (std::uint32_t i = 0; i < 3; ++i)
            request.on_written(i);
        fixture.result(request, 0, forward_outcome::refused, start);
        CHECK(fixture.out.end == forward_end::failed);
    }
}

TEST_CASE(
    "deadlines: full_value_until is earlier after an attempt of the caller",
    "[forwarding]")
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
    "forwarding: an at_most_once request is retried only after a refusal",
    "[forwarding]")
{
    forward_route once;
    once.safety = retry_safety::at_most_once;
    once.max_attempts = 2;
    forward_fixture fixture{1, 3, once};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    REQUIRE(fixture.out.sends.size() == 1);
    fixture.out.clear();

    SECTION("a refused attempt is retried")
    {
        fixture.result(request, 0, forward_outcome::refused, start);
        CHECK(fixture.out.sends.size() == 1);
        CHECK_FALSE(fixture.out.end);
    }
    SECTION("a broken connection fails the request")
    {
        fixture.result(request, 0, forward_outcome::broken, start);
        CHECK(fixture.out.sends.empty());
        CHECK(fixture.out.end == forward_end::failed);
    }
    SECTION("no hedge is sent")
    {
        CHECK(request.next_wakeup() >= start + milliseconds{90});
        request.on_timeout(
            fixture.context(),
            fixture.profile,
            start + milliseconds{85},
            fixture.out);
        CHECK(fixture.out.sends.empty());
    }
    SECTION("refusals by all replicas end the request as not_run")
    {
        fixture.result(request, 0, forward_outcome::refused, start);
        fixture.result(request, 1, forward_outcome::refused, start);
        fixture.result(request, 2, forward_outcome::refused, start);
        CHECK(fixture.out.end == forward_end::not_run);
    }
}

TEST_CASE(
    "forwarding: without an available replica the request ends as not_run",
    "[forwarding]")
{
    forward_fixture fixture{1, 1, idempotent(2)};
    fixture.catalog.set_domain_excluded("d0", true);
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    CHECK(fixture.out.sends.empty());
    CHECK(fixture.out.end == forward_end::not_run);
}

TEST_CASE(
    "forwarding: max_attempts limits the replicas that are tried",
    "[forwarding]")
{
    forward_fixture fixture{1, 4, idempotent(2)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    fixture.result(request, 0, forward_outcome::broken, start);
    fixture.result(request, 1, forward_outcome::broken, start);
    CHECK(request.attempts() == 2);
    CHECK(fixture.out.end == forward_end::failed);
}

TEST_CASE(
    "forwarding: a retry after an unreachable replica spends no budget",
    "[forwarding]")
{
    forward_fixture fixture{1, 3, idempotent(2)};
    const auto before = fixture.budgets.remaining("s0", start);
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    fixture.result(request, 0, forward_outcome::unreachable, start);
    CHECK(request.attempts() == 2);
    CHECK(fixture.budgets.remaining("s0", start) >= before);
}

TEST_CASE(
    "selector: a silent, slow, failing or unreachable replica is not chosen",
    "[placement]")
{
    forward_fixture fixture{1, 3, idempotent(2)};
    const auto& service = fixture.config->services[0];
    const auto bad = fixture.catalog.of_service("s0").front();
    auto& health = fixture.catalog.at(bad).health;
    const auto now = start + milliseconds{100};
    const auto median = fixture.profile.median();

    SECTION("silent")
    {
        health.on_sent(start);
    }
    SECTION("slow")
    {
        for (int i = 0; i < 5; ++i) {
            health.on_sent(start);
            health.on_answered(milliseconds{100}, median, now);
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
        CHECK(
            fixture.selector.choose(service, {}, median, fixture.fleet, now) !=
            bad);
}

TEST_CASE(
    "refusals: the retry time is when a replica can be reached again",
    "[forwarding]")
{
    forward_fixture fixture{1, 2, idempotent(2)};
    const auto now = start + milliseconds{10};
    const auto refused_request = [&] {
        auto request = fixture.make_request();
        fixture.out.clear();
        request.begin(fixture.context(), fixture.profile, now, fixture.out);
        for (std::uint32_t i = 0; !fixture.out.end; ++i)
            fixture.result(request, i, forward_outcome::unreachable, now);
        CHECK(*fixture.out.end == forward_end::not_run);
        return request.earliest_retry(fixture.context(), now);
    };
    SECTION("unreachable replica: the next connection attempt")
    {
        // The delay before it grows with each failed connection attempt.
        CHECK(refused_request() == now + milliseconds{100});
        CHECK(refused_request() == now + milliseconds{250});
    }
    SECTION("no replica: the wait for a replica to start")
    {
        fixture.catalog.withdraw("s0-a", start - seconds{10});
        fixture.catalog.withdraw("s0-b", start - seconds{10});
        fixture.catalog.expire(now);
        auto request = fixture.make_request();
        request.begin(fixture.context(), fixture.profile, now, fixture.out);
        CHECK(fixture.out.end == forward_end::not_run);
        CHECK(
            request.earliest_retry(fixture.context(), now) ==
            now + replica_selector::no_replica_wait);
    }
}

TEST_CASE(
    "refusals: for a cold service the retry time follows its rate limit",
    "[forwarding]")
{
    forward_fixture fixture{1, 1, idempotent(1)};
    auto service = fixture.config->services[0];
    service.cold_rate = 4;
    auto& only = fixture.catalog.at(fixture.catalog.of_service("s0").front());
    only.cold_until = start + seconds{30};
    while (fixture.selector.choose(
        service, {}, milliseconds{10}, fixture.fleet, start)) {
    }
    const auto now = start + milliseconds{300};
    CHECK(
        fixture.selector.earliest_retry(service, fixture.fleet, now) ==
        start + seconds{1});
}

// Guards against replicas that count as busy for good: a request that ends
// discards the attempts that it has just started.
TEST_CASE(
    "forwarding: an attempt that the end of the request discards is not in "
    "flight",
    "[forwarding]")
{
    forward_fixture fixture{1, 2, idempotent(2)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    const auto budget = fixture.budgets.remaining("s0", start);
    // The retry starts when the request is overdue.
    fixture.out.clear();
    fixture.result(
        request, 0, forward_outcome::refused, start + milliseconds{590});
    // The attempt was refused and the retry is discarded: nothing ran.
    REQUIRE(fixture.out.end == forward_end::not_run);
    CHECK(fixture.out.sends.empty());
    for (const auto number : fixture.catalog.of_service("s0"))
        CHECK(fixture.catalog.at(number).health.in_flight() == 0);
    CHECK(fixture.budgets.remaining("s0", start) == budget);
}

// Guards against attempts that arrive, uncharged, at the upstream that now has
// the address of a lost replica.
TEST_CASE(
    "forwarding: a replica whose address another upstream has gets no further "
    "attempts",
    "[forwarding]")
{
    forward_fixture fixture{1, 2, idempotent(3)};
    const auto lost = fixture.catalog.of_service("s0").front();
    std::size_t arrivals = 0;
    const auto send_requests = [&](time_point begin) {
        for (int i = 0; i < 300; ++i) {
            const auto now = begin + i * milliseconds{10};
            auto request = fixture.make_request();
            fixture.out.clear();
            request.begin(fixture.context(), fixture.profile, now, fixture.out);
            // The other replica refuses half of the requests, so that each
            // request is tried at both.
            for (std::uint32_t a = 0; a < request.attempts(); ++a) {
                const bool misdirected = request.replica_of(a) == lost;
                arrivals += misdirected ? 1 : 0;
                fixture.result(
                    request,
                    a,
                    misdirected  ? forward_outcome::misdirected
                    : i % 2 == 0 ? forward_outcome::refused
                                 : forward_outcome::answered,
                    now);
            }
        }
    };
    send_requests(start);
    CHECK(arrivals == 1);
    SECTION("until it is published again")
    {
        fixture.publish("s0", fixture.catalog.at(lost).published.id, 2);
        send_requests(start + seconds{4});
        CHECK(arrivals == 2);
    }
}

TEST_CASE("selector: a slow replica is tried again later", "[placement]")
{
    forward_fixture fixture{1, 2, idempotent(2)};
    const auto& service = fixture.config->services[0];
    const auto bad = fixture.catalog.of_service("s0").front();
    auto& health = fixture.catalog.at(bad).health;
    for (int i = 0; i < 5; ++i) {
        health.on_sent(start);
        health.on_answered(milliseconds{100}, milliseconds{10}, start);
    }
    bool tried = false;
    for (int i = 0; i < 50; ++i)
        tried |= fixture.selector.choose(
                     service,
                     {},
                     milliseconds{10},
                     fixture.fleet,
                     start + seconds{10}) == bad;
    CHECK(tried);
}

TEST_CASE(
    "selector: a cold replica gets no more than its allowance", "[placement]")
{
    forward_fixture fixture{1, 1, idempotent(1)};
    auto service = fixture.config->services[0];
    service.cold_rate = 4;
    auto& only = fixture.catalog.at(fixture.catalog.of_service("s0").front());
    only.cold_until = start + seconds{3};
    int sent = 0;
    for (int i = 0; i < 100; ++i)
        sent += fixture.selector.choose(
                    service,
                    {},
                    milliseconds{10},
                    fixture.fleet,
                    start + milliseconds{i * 9})
                    ? 1
                    : 0;
    CHECK(sent == 11); // 1.5 * 4 per second, plus 5
}

TEST_CASE("merge: the greatest records in descending order", "[merge]")
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

TEST_CASE(
    "forwarding: a search whose shard is paused is refused at once",
    "[forwarding]")
{
    forward_fixture fixture{4, 2, idempotent(2)};
    const auto until = start + seconds{2};
    for (const auto number : fixture.catalog.of_service("s2"))
        fixture.catalog.at(number).health.pause_until(until);
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    CHECK(fixture.out.sends.empty());
    CHECK(fixture.out.end == forward_end::not_run);
    CHECK(request.earliest_retry(fixture.context(), start) == until);
    CHECK(request.count_unusable(fixture.context(), start).paused == 2);
}

TEST_CASE(
    "forwarding: a partial answer lacks the shard that is paused",
    "[forwarding]")
{
    forward_fixture fixture{4, 2, idempotent(2, 0.75)};
    for (const auto number : fixture.catalog.of_service("s2"))
        fixture.catalog.at(number).health.pause_until(start + seconds{2});
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    REQUIRE(fixture.out.sends.size() == 3);
    for (std::uint32_t i = 0; i < 3; ++i)
        fixture.result(
            request, i, forward_outcome::answered, start + milliseconds{10});
    CHECK(fixture.out.end == forward_end::partial);
}

// Guards against a search that crashes a replica of each shard before the first
// crash is known.
TEST_CASE(
    "trial: the other parts follow when one replica has survived the request",
    "[forwarding]")
{
    forward_fixture fixture{4, 3, idempotent(3, 0.75)};
    auto request = fixture.make_request();
    request.limit_to_trial();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    REQUIRE(fixture.out.sends.size() == 1);
    fixture.out.clear();
    const auto later = start + milliseconds{50};
    request.on_timeout(fixture.context(), fixture.profile, later, fixture.out);
    CHECK(fixture.out.sends.empty());

    SECTION("survived")
    {
        const auto outcome = GENERATE(
            forward_outcome::answered,
            forward_outcome::failed,
            forward_outcome::broken);
        fixture.result(request, 0, outcome, later);
        CHECK(
            fixture.out.sends.size() ==
            (outcome == forward_outcome::answered ? 3 : 4));
        CHECK_FALSE(request.ended());
    }
    SECTION("not run: another replica is tried")
    {
        fixture.result(request, 0, forward_outcome::refused, later);
        REQUIRE(fixture.out.sends.size() == 1);
        CHECK(fixture.out.sends.front().part == 0);
    }
    SECTION("no replica of its shard: another part is tried")
    {
        for (std::uint32_t i = 0; i < 3; ++i) {
            fixture.out.clear();
            fixture.result(request, i, forward_outcome::unreachable, later);
        }
        REQUIRE(fixture.out.sends.size() == 1);
        CHECK(fixture.out.sends.front().part == 1);
    }
    SECTION("interrupted: the request ends, and may have run")
    {
        fixture.result(request, 0, forward_outcome::interrupted, later);
        CHECK(fixture.out.sends.empty());
        CHECK(fixture.out.end == forward_end::failed);
        CHECK_FALSE(request.survived());
    }
}

TEST_CASE(
    "forwarding: a part that two replicas interrupted is not sent to a third",
    "[forwarding]")
{
    forward_fixture fixture{1, 4, idempotent(4)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    fixture.out.clear();
    fixture.result(request, 0, forward_outcome::interrupted, start);
    REQUIRE(fixture.out.sends.size() == 1);
    fixture.out.clear();
    fixture.result(request, 1, forward_outcome::interrupted, start);
    CHECK(fixture.out.sends.empty());
    CHECK(fixture.out.end == forward_end::failed);
}

TEST_CASE(
    "forwarding: a request that another replica answers has survived",
    "[forwarding]")
{
    forward_fixture fixture{1, 4, idempotent(4)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    fixture.result(request, 0, forward_outcome::interrupted, start);
    CHECK_FALSE(request.survived());
    fixture.result(request, 1, forward_outcome::answered, start);
    CHECK(request.survived());
}

TEST_CASE(
    "forwarding: a request of which nothing was written has not run",
    "[forwarding]")
{
    forward_fixture fixture{10, 1, idempotent(1, 1.0)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    REQUIRE(fixture.out.sends.size() == 10);
    const auto now = start + milliseconds{10};

    SECTION("when a part is given up")
    {
        fixture.result(request, 0, forward_outcome::unreachable, now);
        CHECK(fixture.out.end == forward_end::not_run);
    }
    SECTION("at the deadline")
    {
        request.on_timeout(
            fixture.context(),
            fixture.profile,
            request.times().answer_deadline,
            fixture.out);
        CHECK(fixture.out.end == forward_end::not_run);
    }
    SECTION("unless one part was written")
    {
        request.on_written(3);
        fixture.result(request, 0, forward_outcome::unreachable, now);
        CHECK(fixture.out.end == forward_end::failed);
    }
}

TEST_CASE(
    "forwarding: a part whose replicas have all failed is tried again while it "
    "can be in time",
    "[forwarding]")
{
    // Guards against a 502 after a few milliseconds when one replica of a shard
    // fails a part of its requests and the others are down.
    forward_fixture fixture{3, 1, idempotent(2)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    fixture.out.clear();
    fixture.result(
        request, 0, forward_outcome::failed, start + milliseconds{2});
    CHECK_FALSE(fixture.out.end);
    CHECK(fixture.out.sends.empty());
    const auto due = request.next_wakeup();
    CHECK(due <= start + milliseconds{2} + forwarded_request::retry_pause);
    request.on_timeout(fixture.context(), fixture.profile, due, fixture.out);
    REQUIRE(fixture.out.sends.size() == 1);
    const auto again = fixture.out.sends[0].attempt;
    CHECK(fixture.out.sends[0].part == 0);
    for (const auto attempt : {1U, 2U, again})
        fixture.result(
            request, attempt, forward_outcome::answered, due + milliseconds{5});
    CHECK(fixture.out.end == forward_end::complete);
}

TEST_CASE(
    "forwarding: a part that failed as often as its route allows ends the "
    "request at once",
    "[forwarding]")
{
    forward_fixture fixture{3, 1, idempotent(1)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    fixture.result(
        request, 0, forward_outcome::failed, start + milliseconds{2});
    CHECK(fixture.out.end == forward_end::failed);
}

TEST_CASE(
    "forwarding: a retry that can't be in time any more ends the request",
    "[forwarding]")
{
    forward_fixture fixture{3, 1, idempotent(2)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    fixture.result(
        request, 0, forward_outcome::failed, start + milliseconds{85});
    CHECK(fixture.out.end == forward_end::failed);
}

TEST_CASE(
    "forwarding: what is known of an attempt follows from its result",
    "[forwarding]")
{
    struct example
    {
        forward_outcome outcome;
        bool written;
        attempt_execution expected;
    };
    for (const auto& [outcome, written, expected] : {
             example{
                 forward_outcome::failed,
                 true,
                 attempt_execution::may_have_run},
             {forward_outcome::broken, true, attempt_execution::may_have_run},
             {forward_outcome::interrupted,
              true,
              attempt_execution::may_have_run},
             {forward_outcome::refused, true, attempt_execution::refused},
             {forward_outcome::misdirected, true, attempt_execution::refused},
             {forward_outcome::unreachable, false, attempt_execution::not_sent},
             {forward_outcome::unsent, false, attempt_execution::not_sent},
         }) {
        INFO(name_of(outcome));
        forward_fixture fixture{1, 1, idempotent(1)};
        auto request = fixture.make_request();
        request.begin(fixture.context(), fixture.profile, start, fixture.out);
        CHECK(request.execution() == attempt_execution::not_sent);
        if (written) {
            request.on_written(0);
            CHECK(request.execution() == attempt_execution::may_still_run);
        }
        fixture.result(request, 0, outcome, start + milliseconds{2});
        CHECK(name_of(request.execution()) == name_of(expected));
        REQUIRE(fixture.out.end);
        CHECK(
            (*fixture.out.end == forward_end::not_run) ==
            surely_not_run(expected));
    }
}

// Guards against a hedge that is open while the other attempt is refused, and a
// caller that is told that nothing will run.
TEST_CASE(
    "forwarding: an aborted attempt that was written may still run",
    "[forwarding]")
{
    forward_fixture fixture{3, 2, idempotent(2)};
    auto request = fixture.make_request();
    request.begin(fixture.context(), fixture.profile, start, fixture.out);
    request.on_written(1);
    request.abandon();
    CHECK(request.execution() == attempt_execution::may_still_run);
}
