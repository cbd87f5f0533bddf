#include <peridotward/core/discovery/feed_plan.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

member_update member_of(std::size_t number, std::size_t strong)
{
    member_update told;
    told.id = "10.0.0." + std::to_string(number) + ":7000";
    told.incarnation = 1;
    told.ready = true;
    told.domain = "d" + std::to_string(number % 3);
    told.capacity = number < strong ? 500 : 120;
    return told;
}

/// What instance `number` of `size` believes once all have met.
membership view_of(std::size_t number, std::size_t size, std::size_t strong)
{
    membership seen{member_of(number, strong), number};
    probe heard;
    for (std::size_t i = 0; i < size; ++i)
        heard.updates.push_back(member_of(i, strong));
    std::vector<outgoing_message> out;
    seen.on_message(member_of(0, strong).id, heard, start, out);
    return seen;
}

} // namespace

TEST_CASE("feed plan: a small fleet reads the store itself", "[feed]")
{
    for (std::size_t i = 0; i < 8; ++i)
        CHECK(plan_feed(view_of(i, 8, 8)).reads_store);
}

TEST_CASE("feed plan: few strong instances read for a large fleet", "[feed]")
{
    constexpr std::size_t size = 60;
    std::set<std::string> readers;
    std::set<std::string> domains;
    for (std::size_t i = 0; i < size; ++i) {
        const auto plan = plan_feed(view_of(i, size, 6));
        if (plan.reads_store) {
            readers.insert(member_of(i, 6).id);
            domains.insert(member_of(i, 6).domain);
            CHECK(member_of(i, 6).capacity == 500);
        }
    }
    CHECK(readers.size() == feed_plan::readers_wanted);
    CHECK(domains.size() == 3);
    for (std::size_t i = 0; i < size; ++i) {
        const auto plan = plan_feed(view_of(i, size, 6));
        if (plan.reads_store)
            continue;
        REQUIRE(plan.readers.size() == feed_plan::readers_wanted);
        for (const auto& reader : plan.readers)
            CHECK(readers.contains(reader));
    }
}
