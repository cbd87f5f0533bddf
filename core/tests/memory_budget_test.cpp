#include <peridotward/core/admission/memory_budget.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace peridotward;

namespace {

constexpr std::size_t capacity = 100;

/// A budget of 100 bytes and messages that claim some of it.
struct budget_fixture
{
    /// \returns Whether the claim is granted at once.
    bool claim(const std::string& group, std::size_t bytes)
    {
        auto& message = messages.emplace_back();
        message.waiter = std::make_unique<memory_waiter>(
            [&message, number = messages.size() - 1, this](memory_claim got) {
                message.held = std::move(got);
                granted.push_back(number);
            });
        message.held = budget->claim(group, bytes, *message.waiter);
        return message.held.bytes() > 0;
    }

    struct claiming_message
    {
        std::unique_ptr<memory_waiter> waiter;
        memory_claim held;
    };

    boost::intrusive_ptr<memory_budget> budget{new memory_budget{capacity}};
    std::deque<claiming_message> messages;
    std::vector<std::size_t> granted; ///< After a wait.
};

} // namespace

// Guards against large messages that together take more memory than the
// instance has.
TEST_CASE("memory: claims beyond the capacity wait", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("a", 50));
    CHECK(fixture.claim("b", 40));
    CHECK_FALSE(fixture.claim("c", 20));
    CHECK(fixture.budget->used() == 90);
    CHECK(fixture.budget->waiting_bytes() == 20);
    fixture.messages[1].held.release();
    CHECK(fixture.granted == std::vector<std::size_t>{2});
    CHECK(fixture.budget->used() == 70);
    fixture.messages.clear();
    CHECK(fixture.budget->used() == 0);
}

// Guards against a service with large answers that stops all others.
TEST_CASE("memory: one group leaves room for the others", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("flood", 30));
    CHECK(fixture.claim("flood", 20));
    CHECK_FALSE(fixture.claim("flood", 30));
    CHECK_FALSE(fixture.budget->overcommitted("flood"));
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(fixture.claim("flood", 30));
    CHECK(fixture.budget->overcommitted("flood"));
    CHECK_FALSE(fixture.budget->overcommitted("other"));
    CHECK(fixture.claim("other", 45));
}

TEST_CASE("memory: waiting claims are granted in their order", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("a", 50));
    CHECK(fixture.claim("b", 50));
    CHECK_FALSE(fixture.claim("c", 40)); // Waits for the whole budget.
    CHECK_FALSE(fixture.claim("d", 5));
    CHECK_FALSE(fixture.claim("a", 10));
    fixture.messages[0].held.release();
    CHECK(fixture.granted == std::vector<std::size_t>{2, 3});
    fixture.messages[1].held.release();
    CHECK(fixture.granted == std::vector<std::size_t>{2, 3, 4});
}

TEST_CASE("memory: a large claim is not passed by later small ones", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("a", 50));
    CHECK(fixture.claim("b", 20));
    CHECK_FALSE(fixture.claim("c", 40));
    CHECK_FALSE(fixture.claim("d", 10));
    fixture.messages[1].held.release();
    CHECK(fixture.granted == std::vector<std::size_t>{2, 3});
}

// Guards against a message that is larger than the limits and waits for ever.
TEST_CASE("memory: an oversized claim is granted alone", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("a", 10));
    CHECK_FALSE(fixture.claim("b", 300));
    fixture.messages[0].held.release();
    CHECK(fixture.granted == std::vector<std::size_t>{1});
    CHECK_FALSE(fixture.claim("a", 1));
    fixture.messages[1].held.release();
    CHECK(fixture.budget->used() == 1);
}

TEST_CASE("memory: a message that ends waits no more", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("a", 50));
    CHECK_FALSE(fixture.claim("a", 50));
    CHECK_FALSE(fixture.claim("a", 20));
    fixture.messages[1].waiter.reset();
    fixture.messages[0].held.release();
    CHECK(fixture.granted == std::vector<std::size_t>{2});
}

TEST_CASE("memory: a higher capacity grants what waits", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("a", 50));
    CHECK_FALSE(fixture.claim("a", 50));
    fixture.budget->limit(2 * capacity);
    CHECK(fixture.granted == std::vector<std::size_t>{1});
}

TEST_CASE("memory: a claim can be reduced to what is used", "[memory]")
{
    budget_fixture fixture;
    CHECK(fixture.claim("a", 50));
    CHECK_FALSE(fixture.claim("a", 40));
    fixture.messages[0].held.reduce(10);
    CHECK(fixture.granted == std::vector<std::size_t>{1});
    CHECK(fixture.budget->used() == 50);
}
