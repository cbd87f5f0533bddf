#include <peridotward/core/discovery/store_reader_plan.hpp>

#include <catch2/catch.hpp>

#include <set>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

member_update member_of(std::size_t number, std::size_t strong_count)
{
    member_update update;
    update.id = "10.0.0." + std::to_string(number) + ":7000";
    update.incarnation = 1;
    update.ready = true;
    update.domain = "d" + std::to_string(number % 3);
    update.capacity = number < strong_count ? 500 : 120;
    return update;
}

/// \returns The view of instance `number` in a fleet of `size` whose members
/// all know each other.
membership
view_of(std::size_t number, std::size_t size, std::size_t strong_count)
{
    membership members{member_of(number, strong_count), number};
    probe message;
    for (std::size_t i = 0; i < size; ++i)
        message.updates.push_back(member_of(i, strong_count));
    std::vector<outgoing_message> out;
    members.on_message(member_of(0, strong_count).id, message, start, out);
    return members;
}

} // namespace

TEST_CASE(
    "store readers: all instances of a small fleet read the store", "[feed]")
{
    for (std::size_t i = 0; i < 8; ++i)
        CHECK(plan_store_readers(view_of(i, 8, 8)).reads_store);
}

TEST_CASE(
    "store readers: three strong instances read for a large fleet", "[feed]")
{
    constexpr std::size_t size = 60;
    std::set<std::string> readers;
    std::set<std::string> domains;
    for (std::size_t i = 0; i < size; ++i) {
        const auto plan = plan_store_readers(view_of(i, size, 6));
        if (plan.reads_store) {
            readers.insert(member_of(i, 6).id);
            domains.insert(member_of(i, 6).domain);
            CHECK(member_of(i, 6).capacity == 500);
        }
    }
    CHECK(readers.size() == store_reader_plan::reader_count);
    CHECK(domains.size() == 3);
    for (std::size_t i = 0; i < size; ++i) {
        const auto plan = plan_store_readers(view_of(i, size, 6));
        if (plan.reads_store)
            continue;
        REQUIRE(plan.readers.size() == store_reader_plan::reader_count);
        for (const auto& reader : plan.readers)
            CHECK(readers.contains(reader));
    }
}
