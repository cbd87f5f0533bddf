#include <peridotward/base/random.hpp>
#include <peridotward/core/budgets/cold_limit.hpp>
#include <peridotward/core/budgets/retry_budgets.hpp>
#include <peridotward/core/budgets/sender_weight.hpp>

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

/// Checks the fleet-wide limit: within any window, extra attempts against the
/// requests of that window.
class window_checker
{
public:
    void request(time_point now) { requests_.push_back(now); }
    void extra_attempt(time_point now)
    {
        extra_attempts_.push_back(now);
        const auto in_window = [&](const auto& times) {
            return std::count_if(times.begin(), times.end(), [&](auto at) {
                return at > now - bounds.window;
            });
        };
        const double allowed =
            bounds.ratio * static_cast<double>(in_window(requests_)) +
            bounds.burst_allowance;
        worst_ = std::max(
            worst_, static_cast<double>(in_window(extra_attempts_)) - allowed);
    }
    [[nodiscard]] double worst_excess() const { return worst_; }

private:
    std::vector<time_point> requests_;
    std::vector<time_point> extra_attempts_;
    double worst_ = -1e9;
};

} // namespace

TEST_CASE(
    "retry budgets: eight instances stay within the limit in every window",
    "[budgets]")
{
    const bool held = rc::check([](std::uint64_t seed) {
        constexpr std::uint32_t instances = 8;
        random_source random{seed};
        std::vector<retry_budgets> fleet(instances, retry_budgets{bounds});
        for (auto& budgets : fleet) {
            budgets.instances(instances);
            budgets.started(start - seconds{60});
        }
        window_checker checker;
        auto now = start;
        const auto rate = 1 + random.below(400);
        for (int i = 0; i < 6000; ++i) {
            now += microseconds{random.below(2'000'000 / rate)};
            auto& budgets = fleet[random.below(instances)];
            budgets.on_request("s", now);
            checker.request(now);
            // A burst of failures requests more attempts than the budget has.
            for (std::uint64_t attempts = random.below(4); attempts > 0;
                 --attempts)
                if (budgets.try_spend("s", extra_attempt_kind::retry, now))
                    checker.extra_attempt(now);
        }
        RC_ASSERT(checker.worst_excess() <= 0);
    });
    CHECK(held);
}

TEST_CASE(
    "retry budgets: a restarted instance has no burst allowance at first",
    "[budgets]")
{
    // A previous process may have spent the allowance in the same window.
    retry_budgets budgets{bounds};
    budgets.instances(8);
    budgets.started(start);
    CHECK_FALSE(
        budgets.try_spend("s", extra_attempt_kind::retry, start + seconds{1}));
    for (int i = 0; i < 10; ++i)
        budgets.on_request("s", start + seconds{1});
    CHECK(
        budgets.try_spend("s", extra_attempt_kind::retry, start + seconds{1}));
    CHECK(
        budgets.try_spend("s", extra_attempt_kind::retry, start + seconds{12}));
}

TEST_CASE(
    "retry budgets: hedges leave a quarter of the budget to retries",
    "[budgets]")
{
    retry_budgets budgets{{0, 20, seconds{10}}};
    budgets.started(start - seconds{60});
    int hedges = 0;
    while (budgets.try_spend("s", extra_attempt_kind::hedge, start))
        ++hedges;
    CHECK(hedges == 15);
    int retries = 0;
    while (budgets.try_spend("s", extra_attempt_kind::retry, start))
        ++retries;
    CHECK(retries == 5);
}

TEST_CASE(
    "retry budgets: an attempt that was not sent is refunded", "[budgets]")
{
    retry_budgets budgets{{0, 1, seconds{10}}};
    budgets.started(start - seconds{60});
    CHECK(budgets.try_spend("s", extra_attempt_kind::retry, start));
    CHECK_FALSE(budgets.try_spend("s", extra_attempt_kind::retry, start));
    budgets.refund("s", start);
    CHECK(budgets.try_spend("s", extra_attempt_kind::retry, start));
}

// Guards against refunds that make room in another part of the window than the
// attempt took.
TEST_CASE(
    "retry budgets: attempts that are refunded late do not raise the limit",
    "[budgets]")
{
    retry_budgets budgets{{0, 56, seconds{10}}};
    budgets.started(start - seconds{60});
    const auto spend = [&](int count, time_point now) {
        int spent = 0;
        while (spent < count &&
               budgets.try_spend("s", extra_attempt_kind::retry, now))
            ++spent;
        return spent;
    };
    const auto refunded_at = start + seconds{4};
    // Half of the budget waits in vain for connections, half is sent later.
    REQUIRE(spend(28, start) == 28);
    REQUIRE(spend(56, refunded_at) == 28);
    for (int i = 0; i < 28; ++i)
        budgets.refund("s", start);
    CHECK(spend(56, refunded_at) == 28);
    CHECK(spend(56, refunded_at + milliseconds{9900}) == 0);
    CHECK(spend(56, refunded_at + seconds{12}) == 56);
}

TEST_CASE(
    "retry budgets: a lower instance count does not raise the share",
    "[budgets]")
{
    retry_budgets budgets{{0, 8, seconds{10}}};
    budgets.started(start - seconds{60});
    budgets.instances(8);
    budgets.instances(1);
    CHECK(budgets.try_spend("s", extra_attempt_kind::retry, start));
    CHECK_FALSE(budgets.try_spend("s", extra_attempt_kind::retry, start));
}

TEST_CASE(
    "retry budgets: strong instances, which have the callers, get most of the "
    "burst allowance",
    "[budgets]")
{
    // 6 of 68 instances are strong, as where most requests enter through few.
    constexpr std::uint32_t strong = 6;
    constexpr std::uint32_t weak = 62;
    constexpr std::uint32_t total = strong * sender_weight::strong + weak;
    CHECK(sender_weight::of(500, 500) == sender_weight::strong);
    CHECK(sender_weight::of(250, 500) == sender_weight::strong);
    CHECK(sender_weight::of(120, 500) == 1);
    const auto burst_of = [&](std::uint32_t weight) {
        retry_budgets budgets{{0, 176, seconds{10}}};
        budgets.started(start - seconds{60});
        budgets.weight(weight, total);
        int spent = 0;
        while (budgets.try_spend("s", extra_attempt_kind::retry, start))
            ++spent;
        return spent;
    };
    const auto of_strong = burst_of(sender_weight::strong);
    CHECK(of_strong >= 5 * 176 / static_cast<int>(strong + weak));
    CHECK(strong * of_strong + weak * burst_of(1) <= 176);
}

TEST_CASE(
    "cold limit: the shares of all instances add up to the limit", "[budgets]")
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
    "cold limit: requests in any second stay within the allowance", "[budgets]")
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

TEST_CASE("retry budgets: the totals of each service are visited", "[budgets]")
{
    retry_budgets budgets{{0.5, 8, seconds{10}}};
    budgets.started(start - seconds{60});
    budgets.instances(4);
    for (int i = 0; i < 10; ++i)
        budgets.on_request("a", start);
    budgets.on_request("b", start);
    REQUIRE(budgets.try_spend("a", extra_attempt_kind::retry, start));
    std::size_t services = 0;
    budgets.visit_totals(
        start, [&](const std::string& service, const auto& totals) {
            ++services;
            CHECK(totals.allowed == (service == "a" ? 7.0 : 2.5));
            CHECK(totals.spent == (service == "a" ? 1.0 : 0.0));
        });
    CHECK(services == 2);
}
