#include <peridotward/base/random.hpp>
#include <peridotward/core/admission/admission.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace peridotward;

namespace {

constexpr std::uint32_t borne = 40; // queries at once
constexpr milliseconds service_time{10};
constexpr milliseconds budget{100};

/// Upstreams that bear `borne` queries at once and shed the others.
struct overload_run
{
    std::map<caller_priority, std::uint32_t> answered;
    std::map<caller_priority, std::uint32_t> offered;
    std::uint32_t shed = 0;
    std::uint32_t refused = 0;
    std::uint32_t late = 0;
    std::uint32_t left_over = 0;

    [[nodiscard]] std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (const auto& [priority, count] : answered)
            sum += count;
        return sum;
    }
};

overload_run run(double load, std::uint32_t queries, std::uint32_t urgent)
{
    struct running
    {
        std::uint64_t id;
        time_point started;
        bool shed;
    };
    overload_run out;
    admission_lane lane{256};
    random_source random{7};
    std::map<std::uint64_t, admission_request> known;
    std::multimap<time_point, running> ends;
    std::uint32_t in_flight = 0;
    auto now = time_point{std::chrono::hours{1}};
    const duration gap =
        duration{service_time} / static_cast<std::int64_t>(borne * load);
    admission_actions actions;
    const auto carry_out = [&] {
        for (const auto id : actions.start) {
            const bool shed = in_flight >= borne;
            in_flight += shed ? 0 : 1;
            const auto spread = service_time * (0.5 + random.unit());
            const auto length =
                shed ? duration{milliseconds{1}}
                     : std::chrono::duration_cast<duration>(spread);
            ends.emplace(now + length, running{id, now, shed});
        }
        out.refused += static_cast<std::uint32_t>(actions.refuse.size());
        for (const auto& refusal : actions.refuse) {
            REQUIRE(known.erase(refusal.id) == 1);
            REQUIRE(refusal.retry_after >= milliseconds{10});
        }
        actions.clear();
    };
    const auto run_until = [&](time_point until) {
        while (!ends.empty() && ends.begin()->first <= until) {
            const auto ended = ends.begin()->second;
            now = ends.begin()->first;
            ends.erase(ends.begin());
            const auto wanted = known.at(ended.id);
            known.erase(ended.id);
            if (ended.shed)
                ++out.shed;
            else if (now <= wanted.deadline)
                ++out.answered[wanted.priority];
            else
                ++out.late;
            in_flight -= ended.shed ? 0 : 1;
            lane.on_finished(ended.started, ended.shed ? 1 : 0, now, actions);
            carry_out();
        }
        now = std::max(now, until);
    };
    for (std::uint64_t id = 1; id <= queries; ++id) {
        run_until(now + gap);
        const auto priority = random.below(100) < urgent
                                  ? caller_priority::urgent
                                  : caller_priority::bulk;
        const admission_request wanted{id, priority, now, now + budget};
        ++out.offered[priority];
        known.emplace(id, wanted);
        lane.arrive(wanted, now, actions);
        carry_out();
    }
    run_until(now + std::chrono::minutes{1});
    lane.on_timeout(now, actions);
    carry_out();
    out.left_over = static_cast<std::uint32_t>(known.size()) + lane.waiting() +
                    lane.running();
    return out;
}

} // namespace

TEST_CASE("admission - twice the capacity keeps nine tenths of the goodput")
{
    constexpr std::uint32_t queries = 100000;
    const auto result = run(2.0, queries, 0);
    // In the time of the run the upstreams could have answered half of them.
    CHECK(result.total() >= queries / 2 * 9 / 10);
    CHECK(
        result.total() + result.shed + result.refused + result.late == queries);
    CHECK(result.left_over == 0);
}

TEST_CASE("admission - urgent goes first and bulk is not starved")
{
    const auto result = run(2.0, 100000, 40);
    const auto share = [&](caller_priority priority) {
        return static_cast<double>(result.answered.at(priority)) /
               result.offered.at(priority);
    };
    CHECK(share(caller_priority::urgent) >= 0.9);
    CHECK(share(caller_priority::bulk) >= 0.05);
    const auto flooded = run(3.0, 100000, 90);
    CHECK(flooded.answered.at(caller_priority::bulk) > 0);
}

TEST_CASE("admission - the earliest deadline goes first")
{
    admission_lane lane{8};
    const time_point now{std::chrono::hours{1}};
    admission_actions actions;
    const auto arrive = [&](std::uint64_t id, int deadline_ms) {
        lane.arrive(
            {id, caller_priority::normal, now, now + milliseconds{deadline_ms}},
            now,
            actions);
    };
    for (std::uint64_t id = 1; id <= lane.allowed(); ++id)
        arrive(id, 500);
    actions.clear();
    arrive(101, 300);
    arrive(102, 100);
    arrive(103, 200);
    CHECK(lane.withdraw(103));
    CHECK(actions.start.empty());
    lane.on_finished(now, 0, now, actions);
    lane.on_finished(now, 0, now, actions);
    CHECK(actions.start == std::vector<std::uint64_t>{102, 101});
}

TEST_CASE("admission - a full queue refuses bulk before urgent")
{
    admission_lane lane{1};
    const time_point now{std::chrono::hours{1}};
    admission_actions actions;
    const auto arrive = [&](std::uint64_t id, caller_priority priority) {
        lane.arrive({id, priority, now, now + seconds{1}}, now, actions);
    };
    for (std::uint64_t id = 1; id <= lane.allowed(); ++id)
        arrive(id, caller_priority::normal);
    arrive(201, caller_priority::bulk);
    arrive(202, caller_priority::urgent);
    arrive(203, caller_priority::bulk);
    REQUIRE(actions.refuse.size() == 2);
    CHECK(actions.refuse[0].id == 201);
    CHECK(actions.refuse[0].reason == error_kind::overloaded);
    CHECK(actions.refuse[1].id == 203);
}