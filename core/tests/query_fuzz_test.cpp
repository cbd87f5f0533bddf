#include "query_fuzz_harness.hpp"

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
    answer_more, ///< As `answer`; makes answers more frequent than failures.
    answer_most, ///< As `answer`.
    shed,
    broken,
    truncated,
    not_sent,
    timed_out,
    answer_twice,
    misroute_answer,
    change_snapshots,
    repartition,
    drain,
    cool_down,
    warm_up,
    remove_upstream,
    set_waiting,
    cancel,
    advance_short,
    advance_long,
};

constexpr int command_kinds = 21;

struct command
{
    command_kind kind = command_kind::advance_short;
    std::uint32_t first = 0;
    std::uint32_t second = 0;
};

std::ostream& operator<<(std::ostream& out, const command& value)
{
    return out << static_cast<int>(value.kind) << '/' << value.first << '/'
               << value.second;
}

rc::Gen<command> any_command()
{
    return rc::gen::map(
        rc::gen::tuple(
            rc::gen::inRange(0, command_kinds),
            rc::gen::inRange<std::uint32_t>(0, 1000),
            rc::gen::inRange<std::uint32_t>(0, 1000)),
        [](const std::tuple<int, std::uint32_t, std::uint32_t>& values) {
            return command{
                static_cast<command_kind>(std::get<0>(values)),
                std::get<1>(values),
                std::get<2>(values)};
        });
}

void apply(query_fuzz_harness& harness, const command& next)
{
    switch (next.kind) {
    case command_kind::start:
        return harness.start_query(20 + next.first, next.second % 4 == 0);
    case command_kind::answer:
    case command_kind::answer_more:
    case command_kind::answer_most:
        for (std::uint32_t i = 0; i <= next.second % 4; ++i)
            harness.answer(next.first);
        return;
    case command_kind::shed:
        if (next.second % 4 == 0)
            harness.fail(next.first, attempt_outcome::shed);
        return;
    case command_kind::broken:
        return harness.fail(next.first, attempt_outcome::broken);
    case command_kind::truncated:
        return harness.fail(next.first, attempt_outcome::malformed);
    case command_kind::not_sent:
        return harness.fail(next.first, attempt_outcome::not_sent);
    case command_kind::timed_out:
        return harness.fail(next.first, attempt_outcome::timed_out);
    case command_kind::answer_twice:
        return harness.answer_twice(next.first);
    case command_kind::misroute_answer:
        return harness.misroute_answer(next.first, next.second);
    case command_kind::change_snapshots:
        return harness.change_snapshots(next.first, next.second);
    case command_kind::repartition:
        if (next.first % 8 == 0)
            harness.repartition();
        return;
    case command_kind::drain:
        return harness.change_phase(next.first, upstream_phase::draining);
    case command_kind::cool_down:
        return harness.change_phase(next.first, upstream_phase::cold);
    case command_kind::warm_up:
        for (std::uint32_t i = 0; i < 6; ++i)
            harness.change_phase(next.first + i, upstream_phase::warm);
        return;
    case command_kind::remove_upstream:
        return harness.remove_upstream(next.first);
    case command_kind::set_waiting:
        return harness.set_queries_waiting(next.first % 8 == 0);
    case command_kind::cancel:
        if (next.second % 4 == 0)
            harness.cancel(next.first);
        return;
    case command_kind::advance_short:
        return harness.advance_time(milliseconds{next.first % 10});
    case command_kind::advance_long:
        return harness.advance_time(milliseconds{next.first % 200});
    }
}

} // namespace

TEST_CASE("query fuzz - queries under random events agree with a simple model")
{
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = 60;
    params.disableShrinking = true;
    std::uint64_t steps = 0;
    std::uint64_t replans = 0;
    std::uint64_t extra_attempts = 0;
    const auto found = rc::detail::checkTestable(
        [&] {
            const auto count = *rc::gen::inRange<std::size_t>(200, 400);
            const auto commands =
                *rc::gen::container<std::vector<command>>(count, any_command());
            query_fuzz_harness harness{*rc::gen::arbitrary<std::uint64_t>()};
            for (const auto& next : commands) {
                apply(harness, next);
                ++steps;
            }
            harness.finish();
            replans += harness.replans;
            extra_attempts += harness.extra_attempts;
            RC_LOG(
                harness.violations.empty() ? std::string{}
                                           : harness.violations.front());
            RC_ASSERT(harness.violations.empty());
        },
        rc::detail::TestMetadata{},
        params);
    rc::detail::printResultMessage(found, std::cerr);
    CHECK(found.is<rc::detail::SuccessResult>());
    CHECK(steps >= 10000);
    // The commands do cause replans and extra attempts.
    CHECK(replans > 0);
    CHECK(extra_attempts > 0);
}
