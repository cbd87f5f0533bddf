#include <peridotward/base/random.hpp>
#include <peridotward/core/admission/admission.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace peridotward;

namespace {

constexpr std::uint32_t capacity = 40; // concurrent queries
constexpr milliseconds service_time{10};
constexpr milliseconds time_budget{100};

/// Simulates upstreams that execute `capacity` concurrent queries and shed the
/// others.
struct overload_result
{
    std::map<caller_priority, std::uint32_t> answered;
    std::map<caller_priority, std::uint32_t> offered;
    std::uint32_t shed = 0;
    std::uint32_t refused = 0;
    std::uint32_t late = 0;
    std::uint32_t unfinished = 0;

    [[nodiscard]] std::uint32_t total() const
    {
        std::uint32_t sum = 0;
        for (const auto& [priority, count] : answered)
            sum += count;
        return sum;
    }
};

overload_result
simulate_overload(double load, std::uint32_t queries, std::uint32_t urgent)
{
    struct running_query
    {
        std::uint64_t id;
        time_point started;
        bool shed;
    };
    overload_result out;
    admission_queue queue{256};
    random_source random{7};
    std::map<std::uint64_t, admission_request> pending;
    std::multimap<time_point, running_query> ends;
    std::uint32_t in_flight = 0;
    auto now = time_point{std::chrono::hours{1}};
    const duration gap =
        duration{service_time} / static_cast<std::int64_t>(capacity * load);
    admission_actions actions;
    const auto execute_actions = [&] {
        for (const auto id : actions.start) {
            const bool shed = in_flight >= capacity;
            in_flight += shed ? 0 : 1;
            const auto spread = service_time * (0.5 + random.unit());
            const auto length =
                shed ? duration{milliseconds{1}}
                     : std::chrono::duration_cast<duration>(spread);
            ends.emplace(now + length, running_query{id, now, shed});
        }
        out.refused += static_cast<std::uint32_t>(actions.refuse.size());
        for (const auto& refusal : actions.refuse) {
            REQUIRE(pending.erase(refusal.id) == 1);
            REQUIRE(refusal.retry_after >= milliseconds{10});
        }
        actions.clear();
    };
    const auto run_until = [&](time_point until) {
        while (!ends.empty() && ends.begin()->first <= until) {
            const auto finished = ends.begin()->second;
            now = ends.begin()->first;
            ends.erase(ends.begin());
            const auto request = pending.at(finished.id);
            pending.erase(finished.id);
            if (finished.shed)
                ++out.shed;
            else if (now <= request.deadline)
                ++out.answered[request.priority];
            else
                ++out.late;
            in_flight -= finished.shed ? 0 : 1;
            queue.on_finished(
                finished.started, finished.shed ? 1 : 0, now, actions);
            execute_actions();
        }
        now = std::max(now, until);
    };
    for (std::uint64_t id = 1; id <= queries; ++id) {
        run_until(now + gap);
        const auto priority = random.below(100) < urgent
                                  ? caller_priority::urgent
                                  : caller_priority::bulk;
        const admission_request request{id, priority, now, now + time_budget};
        ++out.offered[priority];
        pending.emplace(id, request);
        queue.arrive(request, now, actions);
        execute_actions();
    }
    run_until(now + std::chrono::minutes{1});
    queue.on_timeout(now, actions);
    execute_actions();
    out.unfinished = static_cast<std::uint32_t>(pending.size()) +
                     queue.waiting() + queue.running();
    return out;
}

} // namespace

TEST_CASE("admission - goodput stays at nine tenths at twice the capacity")
{
    constexpr std::uint32_t queries = 100000;
    const auto result = simulate_overload(2.0, queries, 0);
    // During the run the upstreams can answer half of the queries.
    CHECK(result.total() >= queries / 2 * 9 / 10);
    CHECK(
        result.total() + result.shed + result.refused + result.late == queries);
    CHECK(result.unfinished == 0);
}

TEST_CASE("admission - overload favors urgent queries without starving bulk")
{
    const auto result = simulate_overload(2.0, 100000, 40);
    const auto share = [&](caller_priority priority) {
        return static_cast<double>(result.answered.at(priority)) /
               result.offered.at(priority);
    };
    CHECK(share(caller_priority::urgent) >= 0.9);
    CHECK(share(caller_priority::bulk) >= 0.05);
    const auto flooded = simulate_overload(3.0, 100000, 90);
    CHECK(flooded.answered.at(caller_priority::bulk) > 0);
}

TEST_CASE("admission - queued queries start by earliest deadline")
{
    admission_queue queue{8};
    const time_point now{std::chrono::hours{1}};
    admission_actions actions;
    const auto arrive = [&](std::uint64_t id, int deadline_ms) {
        queue.arrive(
            {id, caller_priority::normal, now, now + milliseconds{deadline_ms}},
            now,
            actions);
    };
    for (std::uint64_t id = 1; id <= queue.allowed(); ++id)
        arrive(id, 500);
    actions.clear();
    arrive(101, 300);
    arrive(102, 100);
    arrive(103, 200);
    CHECK(queue.withdraw(103));
    CHECK(actions.start.empty());
    queue.on_finished(now, 0, now, actions);
    queue.on_finished(now, 0, now, actions);
    CHECK(actions.start == std::vector<std::uint64_t>{102, 101});
}

TEST_CASE("admission - a full queue refuses bulk before urgent")
{
    admission_queue queue{1};
    const time_point now{std::chrono::hours{1}};
    admission_actions actions;
    const auto arrive = [&](std::uint64_t id, caller_priority priority) {
        queue.arrive({id, priority, now, now + seconds{1}}, now, actions);
    };
    for (std::uint64_t id = 1; id <= queue.allowed(); ++id)
        arrive(id, caller_priority::normal);
    arrive(201, caller_priority::bulk);
    arrive(202, caller_priority::urgent);
    arrive(203, caller_priority::bulk);
    REQUIRE(actions.refuse.size() == 2);
    CHECK(actions.refuse[0].id == 201);
    CHECK(actions.refuse[0].reason == error_kind::overloaded);
    CHECK(actions.refuse[1].id == 203);
}