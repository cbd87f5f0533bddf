#include "query_fuzz_world.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <iostream>

using namespace peridotward;
using namespace peridotward::query_test;

namespace {

enum class command_kind : std::uint8_t
{
    start,
    answer,
    answer_more, ///< Makes answers as likely as they are in life.
    answer_most,
    shed,
    broken,
    truncated,
    not_sent,
    timed_out,
    doubled,
    crossed,
    snapshots,
    repartition,
    drain,
    reset_to_cold,
    warm,
    take_out,
    queue,
    cancel,
    pass,
    pass_long,
};

constexpr int command_kinds = 21;

struct command
{
    command_kind kind = command_kind::pass;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

std::ostream& operator<<(std::ostream& out, const command& shown)
{
    return out << static_cast<int>(shown.kind) << '/' << shown.first << '/'
               << shown.second;
}

rc::Gen<command> any_command()
{
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::inRange(0, command_kinds),
            rc::gen::inRange<std::uint32_t>(0, 1000),
            rc::gen::inRange<std::uint32_t>(0, 1000)),
        [](const std::tuple<int, std::uint32_t, std::uint32_t>& drawn) {
            return command{
                static_cast<command_kind>(std::get<0>(drawn)),
                std::get<1>(drawn),
                std::get<2>(drawn)};
        });
}

void apply(query_fuzz_world& world, const command& next)
{
    switch (next.kind) {
    case command_kind::start:
        return world.start_query(20 + next.first, next.second % 4 == 0);
    case command_kind::answer:
    case command_kind::answer_more:
    case command_kind::answer_most:
        for (std::uint32_t i = 0; i <= next.second % 4; ++i)
            world.answer(next.first);
        return;
    case command_kind::shed:
        if (next.second % 4 == 0)
            world.fail(next.first, attempt_outcome::shed);
        return;
    case command_kind::broken:
        return world.fail(next.first, attempt_outcome::broken);
    case command_kind::truncated:
        return world.fail(next.first, attempt_outcome::malformed);
    case command_kind::not_sent:
        return world.fail(next.first, attempt_outcome::not_sent);
    case command_kind::timed_out:
        return world.fail(next.first, attempt_outcome::timed_out);
    case command_kind::doubled:
        return world.doubled(next.first);
    case command_kind::crossed:
        return world.crossed(next.first, next.second);
    case command_kind::snapshots:
        return world.change_snapshots(next.first, next.second);
    case command_kind::repartition:
        if (next.first % 8 == 0)
            world.repartition();
        return;
    case command_kind::drain:
        return world.change_phase(next.first, upstream_phase::draining);
    case command_kind::reset_to_cold:
        return world.change_phase(next.first, upstream_phase::cold);
    case command_kind::warm:
        for (std::uint32_t i = 0; i < 6; ++i)
            world.change_phase(next.first + i, upstream_phase::warm);
        return;
    case command_kind::take_out:
        return world.take_out(next.first);
    case command_kind::queue:
        return world.wait_queue(next.first % 8 == 0);
    case command_kind::cancel:
        if (next.second % 4 == 0)
            world.cancel(next.first);
        return;
    case command_kind::pass:
        return world.pass(milliseconds{next.first % 10});
    case command_kind::pass_long:
        return world.pass(milliseconds{next.first % 200});
    }
}

} // namespace

TEST_CASE("query fuzz - queries agree with a plain model")
{
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = 60;
    params.disableShrinking = true;
    std::uint64_t steps = 0;
    std::uint64_t replans = 0;
    std::uint64_t extras = 0;
    const auto found = rc::detail::checkTestable(
        [&] {
            const auto count = *rc::gen::inRange<std::size_t>(200, 400);
            const auto commands =
                *rc::gen::container<std::vector<command>>(count, any_command());
            query_fuzz_world world{*rc::gen::arbitrary<std::uint64_t>()};
            for (const auto& next : commands) {
                apply(world, next);
                ++steps;
            }
            world.finish();
            replans += world.replans;
            extras += world.extras;
            RC_LOG(
                world.violations.empty() ? std::string{}
                                         : world.violations.front());
            RC_ASSERT(world.violations.empty());
        },
        rc::detail::TestMetadata{},
        params);
    rc::detail::printResultMessage(found, std::cerr);
    CHECK(found.is<rc::detail::SuccessResult>());
    CHECK(steps >= 10000);
    // The commands reach what they are meant to.
    CHECK(replans > 0);
    CHECK(extras > 0);
}
