#include <peridotward/base/random.hpp>
#include <peridotward/core/budgets/cold_limit.hpp>
#include <peridotward/core/budgets/retry_budgets.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr retry_bounds bounds{0.2, 56, seconds{10}};

/// The bound as it is judged: over any window, repeats against the requests
/// of that window.
class window_judge
{
public:
    void request(time_point now) { requests_.push_back(now); }
    void repeat(time_point now)
    {
        repeats_.push_back(now);
        const auto in_window = [&](const auto& times) {
            return std::count_if(times.begin(), times.end(), [&](auto at) {
                return at > now - bounds.window;
            });
        };
        const double allowed =
            bounds.ratio * static_cast<double>(in_window(requests_)) +
            bounds.burst_allowance;
        worst_ = std::max(
            worst_, static_cast<double>(in_window(repeats_)) - allowed);
    }
    [[nodiscard]] double worst_excess() const { return worst_; }

private:
    std::vector<time_point> requests_;
    std::vector<time_point> repeats_;
    double worst_ = -1e9;
};

} // namespace

TEST_CASE(
    "retry window: eight instances stay within the bound of every window",
    "[budgets]")
{
    const bool held = rc::check([](std::uint64_t seed) {
        constexpr std::uint32_t instances = 8;
        random_source random{seed};
        std::vector<retry_budgets> fleet(instances, retry_budgets{bounds});
        for (auto& ledger : fleet) {
            ledger.instances(instances);
            ledger.started(start - seconds{60});
        }
        window_judge judge;
        auto now = start;
        const auto rate = 1 + random.below(400);
        for (int i = 0; i < 6000; ++i) {
            now += microseconds{random.below(2'000'000 / rate)};
            auto& ledger = fleet[random.below(instances)];
            ledger.on_request("s", now);
            judge.request(now);
            // A burst of failures wants far more than there is.
            for (std::uint64_t wanted = random.below(4); wanted > 0; --wanted)
                if (ledger.try_spend("s", extra_attempt_kind::retry, now))
                    judge.repeat(now);
        }
        RC_ASSERT(judge.worst_excess() <= 0);
    });
    CHECK(held);
}

TEST_CASE(
    "retry window: a restarted instance spends no extra at first", "[budgets]")
{
    // Its life before may have spent it within the same window.
    retry_budgets ledger{bounds};
    ledger.instances(8);
    ledger.started(start);
    CHECK_FALSE(
        ledger.try_spend("s", extra_attempt_kind::retry, start + seconds{1}));
    for (int i = 0; i < 10; ++i)
        ledger.on_request("s", start + seconds{1});
    CHECK(ledger.try_spend("s", extra_attempt_kind::retry, start + seconds{1}));
    CHECK(
        ledger.try_spend("s", extra_attempt_kind::retry, start + seconds{12}));
}

TEST_CASE("retry window: hedges leave a reserve to retries", "[budgets]")
{
    retry_budgets ledger{{0, 20, seconds{10}}};
    ledger.started(start - seconds{60});
    int hedges = 0;
    while (ledger.try_spend("s", extra_attempt_kind::hedge, start))
        ++hedges;
    CHECK(hedges == 15);
    int retries = 0;
    while (ledger.try_spend("s", extra_attempt_kind::retry, start))
        ++retries;
    CHECK(retries == 5);
}

TEST_CASE("retry window: what was not sent is given back", "[budgets]")
{
    retry_budgets ledger{{0, 1, seconds{10}}};
    ledger.started(start - seconds{60});
    CHECK(ledger.try_spend("s", extra_attempt_kind::retry, start));
    CHECK_FALSE(ledger.try_spend("s", extra_attempt_kind::retry, start));
    ledger.refund("s");
    CHECK(ledger.try_spend("s", extra_attempt_kind::retry, start));
}

TEST_CASE(
    "retry window: fewer members known later do not raise a share", "[budgets]")
{
    retry_budgets ledger{{0, 8, seconds{10}}};
    ledger.started(start - seconds{60});
    ledger.instances(8);
    ledger.instances(1);
    CHECK(ledger.try_spend("s", extra_attempt_kind::retry, start));
    CHECK_FALSE(ledger.try_spend("s", extra_attempt_kind::retry, start));
}

TEST_CASE("cold limit: the fleet's shares add up to the bound", "[budgets]")
{
    constexpr cold_bounds cold{1.5, 5};
    for (const std::size_t size : {1U, 2U, 8U, 61U}) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < size; ++i)
            names.push_back("instance-" + std::to_string(i));
        std::uint32_t sum = 0;
        for (const auto& self : names) {
            auto others = names;
            std::erase(others, self);
            sum += cold_allowance("replica", 10, cold, self, others);
        }
        CHECK(sum == 20);
    }
}

TEST_CASE(
    "cold limit: any second holds no more than the allowance", "[budgets]")
{
    cold_window window;
    random_source random{3};
    std::deque<time_point> sent;
    auto now = start;
    for (int i = 0; i < 2000; ++i) {
        now += milliseconds{random.below(120)};
        if (!window.try_acquire(3, now))
            continue;
        sent.push_back(now);
        while (now - sent.front() >= seconds{1})
            sent.pop_front();
        CHECK(sent.size() <= 3);
    }
}
