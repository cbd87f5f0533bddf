#include <peridotward/core/discovery/store_reader_plan.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

member_update
member_of(std::size_t number, std::size_t strong_count, std::size_t domains = 3)
{
    member_update update;
    update.id = "10.0.0." + std::to_string(number) + ":7000";
    update.incarnation = 1;
    update.ready = true;
    update.domain = "d" + std::to_string(number % domains);
    update.capacity = number < strong_count ? 500 : 120;
    return update;
}

/// \returns The view of instance `number` in a fleet of `size` whose members
/// all know each other.
membership view_of(
    std::size_t number,
    std::size_t size,
    std::size_t strong_count,
    std::size_t domains = 3)
{
    membership members{member_of(number, strong_count, domains), number};
    probe message;
    for (std::size_t i = 0; i < size; ++i)
        message.updates.push_back(member_of(i, strong_count, domains));
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

// Load pattern: changes that each instance of a large fleet is told of.
TEST_CASE(
    "store readers: no reader serves many instances or other large domains",
    "[feed]")
{
    struct fleet_size
    {
        std::size_t instances;
        std::size_t domains;
    };
    for (const auto& [instances, domains] :
         {fleet_size{79, 3}, fleet_size{195, 5}, fleet_size{740, 5}}) {
        INFO(instances << " instances");
        std::map<std::string, std::size_t> followers;
        std::size_t from_other_domains = 0;
        std::size_t readers = 0;
        for (std::size_t i = 0; i < instances; ++i) {
            const auto plan =
                plan_store_readers(view_of(i, instances, 15, domains));
            if (plan.reads_store) {
                ++readers;
                continue;
            }
            ++followers[plan.readers.front()];
            const auto local = std::any_of(
                plan.readers.begin(), plan.readers.end(), [&](const auto& id) {
                    const auto number = std::stoul(id.substr(7));
                    return number % domains == i % domains;
                });
            from_other_domains += local ? 0 : 1;
        }
        CHECK(readers >= store_reader_plan::reader_count);
        CHECK(readers <= 8);
        CHECK(from_other_domains == 0);
        for (const auto& [reader, count] : followers)
            CHECK(count <= 2 * store_reader_plan::max_instances_per_reader);
    }
}
