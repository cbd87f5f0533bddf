#include "fleet_simulation.hpp"

#include <peridotward/core/budgets/domain_shares.hpp>
#include <peridotward/core/placement/warmth.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

constexpr duration fast = milliseconds{6};
constexpr duration slow = milliseconds{60};

/// One upstream that answers in virtual time, one request after another.
struct answering
{
    explicit answering(std::uint32_t slots = 6)
    {
        limits.slots = slots;
        limits.cold_ramp = milliseconds{1000};
        bears.reset(limits, now);
    }

    void answer(
        upstream_phase marked,
        duration elapsed = fast,
        attempt_outcome outcome = attempt_outcome::answered)
    {
        now += elapsed;
        bears.on_answer(limits, outcome, marked, elapsed, fast, now);
    }

    service limits;
    warmth bears;
    time_point now{std::chrono::hours{1}};
};

} // namespace

TEST_CASE("fleet warmth - a new holder reaches full slots within 300 ms")
{
    answering upstream;
    CHECK(upstream.bears.limit(upstream.limits) == 1);
    const auto start = upstream.now;
    while (upstream.bears.phase() != warmth_phase::warm)
        upstream.answer(upstream_phase::warm);
    CHECK(upstream.now - start < milliseconds{300});
    CHECK(upstream.bears.limit(upstream.limits) == 6);
}

TEST_CASE("fleet warmth - the mark, a shed and slow answers cut at once")
{
    answering upstream;
    const auto warm_up = [&] {
        upstream.bears.reset(upstream.limits, upstream.now);
        while (upstream.bears.phase() != warmth_phase::warm)
            upstream.answer(upstream_phase::warm);
    };
    warm_up();
    upstream.answer(upstream_phase::cold);
    CHECK(upstream.bears.limit(upstream.limits) == 1);
    warm_up();
    upstream.answer(upstream_phase::warm, fast, attempt_outcome::shed);
    CHECK(upstream.bears.limit(upstream.limits) == 1);
    warm_up();
    for (int i = 0; i < 3; ++i)
        upstream.answer(upstream_phase::warm, slow);
    CHECK(upstream.bears.limit(upstream.limits) == 1);
}

TEST_CASE("fleet warmth - a ramp takes its time and never passes the slots")
{
    answering upstream;
    upstream.bears.chill(upstream.now);
    const auto start = upstream.now;
    std::uint32_t before = 1;
    while (upstream.bears.phase() != warmth_phase::warm) {
        upstream.answer(upstream_phase::warm);
        const auto limit = upstream.bears.limit(upstream.limits);
        CHECK(limit <= before + 1);
        CHECK(limit <= 6);
        before = limit;
    }
    CHECK(upstream.now - start >= upstream.limits.cold_ramp);
}

TEST_CASE("fleet warmth - slow answers hold a replica that says it is warm")
{
    answering upstream;
    upstream.bears.chill(upstream.now);
    for (int i = 0; i < 100; ++i) {
        upstream.answer(upstream_phase::warm, slow);
        CHECK(upstream.bears.limit(upstream.limits) == 1);
    }
}

TEST_CASE("fleet warmth - a wrong cold mark does not starve a replica")
{
    answering upstream;
    const auto start = upstream.now;
    while (upstream.bears.phase() != warmth_phase::warm) {
        upstream.answer(upstream_phase::cold);
        REQUIRE(upstream.now - start < upstream.limits.cold_ramp * 5);
    }
    CHECK(upstream.now - start >= upstream.limits.cold_ramp * 2);
}

TEST_CASE("fleet shares - they add up to the domain's limit")
{
    fleet_shape shape;
    shape.services = 7;
    for (const std::uint32_t limit : {1U, 5U, 17U, 1000U}) {
        shape.domain_limit = limit;
        const auto made = make_bundle(shape);
        domain_shares shares;
        const time_point now{std::chrono::hours{1}};
        shares.on_bundle(made, nullptr, now, {});
        std::vector<std::uint32_t> sums(made.domains.size());
        for (std::uint32_t i = 0; i < made.upstreams.size(); ++i)
            sums[made.upstreams[i].domain.position()] +=
                shares.of(upstream_index{i}, now);
        for (const auto sum : sums)
            CHECK(sum == limit);
    }
}

TEST_CASE("fleet shares - raised shares wait, lowered ones count at once")
{
    fleet_shape shape;
    shape.domain_limit = 8;
    const auto before = make_bundle(shape);
    shape.domain_limit = 16;
    const auto raised = make_bundle(shape);
    domain_shares shares;
    const time_point now{std::chrono::hours{1}};
    shares.on_bundle(before, nullptr, now, seconds{5});
    const auto had = shares.of(upstream_index{0}, now);
    shares.on_bundle(raised, &before, now + seconds{10}, seconds{5});
    CHECK(shares.of(upstream_index{0}, now + seconds{14}) == had);
    CHECK(shares.of(upstream_index{0}, now + seconds{15}) > had);
    shares.on_bundle(before, &raised, now + seconds{20}, seconds{5});
    CHECK(shares.of(upstream_index{0}, now + seconds{20}) == had);
}

TEST_CASE("fleet budget - a domain out gets no work after three seconds")
{
    fleet_simulation world{{}, 21};
    world.run_for(seconds{6});
    world.publish(
        [](bundle& changed) { changed.domains[0].state = admin_state::out; },
        milliseconds{1000});
    world.run_for(seconds{3});
    world.counts = {};
    world.publish(
        [](bundle& changed) {
            for (auto& domain : changed.domains)
                domain.state = admin_state::out;
        },
        milliseconds{1000});
    world.run_for(seconds{3});
    world.counts = {};
    world.run_for(seconds{3});
    CHECK(world.counts.sent == 0);
}
