#include "fleet_simulation.hpp"

#include <peridotward/core/budgets/domain_shares.hpp>
#include <peridotward/core/placement/warmup_tracker.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

constexpr duration fast = milliseconds{6};
constexpr duration slow = milliseconds{60};

/// Simulates an upstream that answers one request after another in virtual
/// time.
struct simulated_upstream
{
    explicit simulated_upstream(std::uint32_t slots = 6)
    {
        limits.slots = slots;
        limits.cold_ramp = milliseconds{1000};
        warmup.reset(limits, now);
    }

    void answer(
        upstream_phase reported,
        duration elapsed = fast,
        attempt_outcome outcome = attempt_outcome::answered)
    {
        now += elapsed;
        warmup.on_answer(limits, outcome, reported, elapsed, fast, now);
    }

    service limits;
    warmup_tracker warmup;
    time_point now{std::chrono::hours{1}};
};

} // namespace

TEST_CASE("fleet warm-up - a new holder reaches full slots within 300 ms")
{
    simulated_upstream upstream;
    CHECK(upstream.warmup.limit(upstream.limits) == 1);
    const auto start = upstream.now;
    while (upstream.warmup.phase() != warmup_phase::warm)
        upstream.answer(upstream_phase::warm);
    CHECK(upstream.now - start < milliseconds{300});
    CHECK(upstream.warmup.limit(upstream.limits) == 6);
}

TEST_CASE("fleet warm-up - a cold report, a shed or slow answers cut the limit")
{
    simulated_upstream upstream;
    const auto warm_up = [&] {
        upstream.warmup.reset(upstream.limits, upstream.now);
        while (upstream.warmup.phase() != warmup_phase::warm)
            upstream.answer(upstream_phase::warm);
    };
    warm_up();
    upstream.answer(upstream_phase::cold);
    CHECK(upstream.warmup.limit(upstream.limits) == 1);
    warm_up();
    upstream.answer(upstream_phase::warm, fast, attempt_outcome::shed);
    CHECK(upstream.warmup.limit(upstream.limits) == 1);
    warm_up();
    for (int i = 0; i < 3; ++i)
        upstream.answer(upstream_phase::warm, slow);
    CHECK(upstream.warmup.limit(upstream.limits) == 1);
}

TEST_CASE(
    "fleet warm-up - a ramp lasts the ramp time and never exceeds the slots")
{
    simulated_upstream upstream;
    upstream.warmup.reset_to_cold(upstream.now);
    const auto start = upstream.now;
    std::uint32_t before = 1;
    while (upstream.warmup.phase() != warmup_phase::warm) {
        upstream.answer(upstream_phase::warm);
        const auto limit = upstream.warmup.limit(upstream.limits);
        CHECK(limit <= before + 1);
        CHECK(limit <= 6);
        before = limit;
    }
    CHECK(upstream.now - start >= upstream.limits.cold_ramp);
}

TEST_CASE(
    "fleet warm-up - slow answers keep the limit low despite warm reports")
{
    simulated_upstream upstream;
    upstream.warmup.reset_to_cold(upstream.now);
    for (int i = 0; i < 100; ++i) {
        upstream.answer(upstream_phase::warm, slow);
        CHECK(upstream.warmup.limit(upstream.limits) == 1);
    }
}

TEST_CASE(
    "fleet warm-up - a cold report is ignored after two ramps of fast answers")
{
    simulated_upstream upstream;
    const auto start = upstream.now;
    while (upstream.warmup.phase() != warmup_phase::warm) {
        upstream.answer(upstream_phase::cold);
        REQUIRE(upstream.now - start < upstream.limits.cold_ramp * 5);
    }
    CHECK(upstream.now - start >= upstream.limits.cold_ramp * 2);
}

TEST_CASE("fleet shares - the shares of a domain add up to its limit")
{
    fleet_shape shape;
    shape.services = 7;
    for (const std::uint32_t limit : {1U, 5U, 17U, 1000U}) {
        shape.domain_limit = limit;
        const auto generated = make_bundle(shape);
        domain_shares shares;
        const time_point now{std::chrono::hours{1}};
        shares.on_bundle(generated, nullptr, now, {});
        std::vector<std::uint32_t> sums(generated.domains.size());
        for (std::uint32_t i = 0; i < generated.upstreams.size(); ++i)
            sums[generated.upstreams[i].domain.position()] +=
                shares.of(upstream_index{i}, now);
        for (const auto sum : sums)
            CHECK(sum == limit);
    }
}

TEST_CASE("fleet shares - raised shares apply late, lowered ones immediately")
{
    fleet_shape shape;
    shape.domain_limit = 8;
    const auto before = make_bundle(shape);
    shape.domain_limit = 16;
    const auto raised = make_bundle(shape);
    domain_shares shares;
    const time_point now{std::chrono::hours{1}};
    shares.on_bundle(before, nullptr, now, seconds{5});
    const auto previous = shares.of(upstream_index{0}, now);
    shares.on_bundle(raised, &before, now + seconds{10}, seconds{5});
    CHECK(shares.of(upstream_index{0}, now + seconds{14}) == previous);
    CHECK(shares.of(upstream_index{0}, now + seconds{15}) > previous);
    shares.on_bundle(before, &raised, now + seconds{20}, seconds{5});
    CHECK(shares.of(upstream_index{0}, now + seconds{20}) == previous);
}

TEST_CASE(
    "fleet budget - a removed domain gets no requests after three seconds")
{
    fleet_simulation simulation{{}, 21};
    simulation.run_for(seconds{6});
    simulation.publish(
        [](bundle& changed) { changed.domains[0].state = admin_state::out; },
        milliseconds{1000});
    simulation.run_for(seconds{3});
    simulation.counts = {};
    simulation.publish(
        [](bundle& changed) {
            for (auto& domain : changed.domains)
                domain.state = admin_state::out;
        },
        milliseconds{1000});
    simulation.run_for(seconds{3});
    simulation.counts = {};
    simulation.run_for(seconds{3});
    CHECK(simulation.counts.sent == 0);
}
