#include <peridotward/core/discovery/upstream_catalog.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};

upstream_record record_of(std::string id, std::uint64_t revision = 1)
{
    upstream_record record;
    record.id = std::move(id);
    record.service = "s";
    record.address = {"10.0.0.1", 8080};
    record.domain = "d1";
    record.start_id = 7;
    record.revision = revision;
    return record;
}

} // namespace

TEST_CASE(
    "discovery: a withdrawn publication is removed unless it returns",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(record_of("a"), start);
    catalog.withdraw("a", start);
    const auto number = catalog.of_service("s").front();
    CHECK(
        catalog.availability(catalog.at(number)) ==
        replica_availability::unpublished);

    SECTION("published again before the lapse limit")
    {
        CHECK(catalog.expire(start + milliseconds{2000}).empty());
        catalog.publish(record_of("a", 2), start + milliseconds{2000});
        CHECK(
            catalog.availability(catalog.at(number)) ==
            replica_availability::serving);
        CHECK(catalog.expire(start + seconds{60}).empty());
    }
    SECTION("not published again")
    {
        const auto ended =
            catalog.expire(start + upstream_catalog::lapse_return);
        CHECK(ended == std::vector<replica_number>{number});
        CHECK(catalog.of_service("s").empty());
    }
}

TEST_CASE(
    "discovery: a restart under the same id adds a new replica", "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(record_of("a"), start);
    const auto before = catalog.of_service("s").front();
    catalog.at(before).health.on_failed(start);
    auto again = record_of("a", 2);
    again.start_id = 8;
    catalog.publish(again, start + seconds{1});

    REQUIRE(catalog.of_service("s").size() == 1);
    const auto after = catalog.of_service("s").front();
    CHECK(after != before);
    CHECK(catalog.at(after).health.failure_share(start + seconds{1}) == 0);
}

TEST_CASE(
    "discovery: a publication with an older revision is ignored", "[discovery]")
{
    upstream_catalog catalog;
    auto leaving = record_of("a", 5);
    leaving.draining = true;
    catalog.publish(leaving, start);
    catalog.publish(record_of("a", 4), start);
    const auto number = catalog.of_service("s").front();
    CHECK(
        catalog.availability(catalog.at(number)) ==
        replica_availability::excluded);
}

TEST_CASE(
    "discovery: an evacuated domain is excluded until it is readmitted",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(record_of("a"), start);
    const auto& published = catalog.at(catalog.of_service("s").front());
    catalog.set_domain_excluded("d1", true);
    CHECK(catalog.availability(published) == replica_availability::excluded);
    catalog.set_domain_excluded("d1", false);
    CHECK(catalog.availability(published) == replica_availability::serving);
}

TEST_CASE(
    "discovery: a listing withdraws the publications that it lacks",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(record_of("a"), start);
    catalog.publish(record_of("b"), start);
    catalog.replace({record_of("b", 2)}, start);
    CHECK(catalog.expire(start + seconds{10}).size() == 1);
    REQUIRE(catalog.of_service("s").size() == 1);
    CHECK(catalog.at(catalog.of_service("s").front()).published.id == "b");
}

TEST_CASE(
    "discovery: a cold start ends after its remaining time", "[discovery]")
{
    upstream_catalog catalog;
    auto cold = record_of("a");
    cold.cold_start_remaining = seconds{3};
    catalog.publish(cold, start);
    const auto& published = catalog.at(catalog.of_service("s").front());
    CHECK(published.cold(start + milliseconds{2999}));
    CHECK_FALSE(published.cold(start + seconds{3}));
}
