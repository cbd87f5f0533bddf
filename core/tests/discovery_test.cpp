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
    record.position = {1, revision};
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
    catalog.replace({{record_of("b", 2)}, {}}, start);
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

namespace {

constexpr auto lapsed = start + upstream_catalog::lapse_return;

upstream_record
in_era(std::uint64_t era, std::uint64_t revision, std::string id)
{
    auto record = record_of(std::move(id), revision);
    record.position.era = era;
    return record;
}

const replica& only_replica(const upstream_catalog& catalog)
{
    REQUIRE(catalog.of_service("s").size() == 1);
    return catalog.at(catalog.of_service("s").front());
}

replica_availability
availability_of_only_replica(const upstream_catalog& catalog)
{
    return catalog.availability(only_replica(catalog));
}

} // namespace

// Guards against: a drain is ignored since its revision in the new era is lower
// than the one known from the earlier era.
TEST_CASE(
    "discovery: a later era outranks a higher revision of an earlier one",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(in_era(1, 90, "a"), start);
    auto leaving = in_era(2, 40, "a");
    leaving.draining = true;
    catalog.publish(leaving, start);
    CHECK(
        availability_of_only_replica(catalog) ==
        replica_availability::excluded);
    catalog.publish(in_era(1, 91, "a"), start);
    CHECK(
        availability_of_only_replica(catalog) ==
        replica_availability::excluded);
}

TEST_CASE(
    "discovery: a listing counts whatever its revisions are", "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(record_of("a", 9), start);
    auto leaving = record_of("a", 4);
    leaving.draining = true;
    catalog.replace({{leaving}, {}}, start);
    CHECK(
        availability_of_only_replica(catalog) ==
        replica_availability::excluded);
}

TEST_CASE(
    "discovery: an upstream that a restored store lacks serves until it would "
    "have been published again",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(in_era(1, 90, "a"), start);
    catalog.replace_restored({}, start);
    CHECK(
        availability_of_only_replica(catalog) == replica_availability::serving);

    SECTION("published again")
    {
        catalog.publish(in_era(2, 40, "a"), start + milliseconds{1500});
        CHECK(catalog.expire(lapsed + seconds{60}).empty());
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
    }
    SECTION("not published again")
    {
        CHECK(catalog.expire(lapsed - milliseconds{1}).empty());
        CHECK(catalog.expire(lapsed).size() == 1);
        CHECK(catalog.of_service("s").empty());
    }
    SECTION("lost once more by the next return")
    {
        catalog.replace_restored({}, start + seconds{2});
        CHECK(catalog.expire(lapsed + seconds{1}).empty());
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
        CHECK(catalog.expire(lapsed + seconds{2}).size() == 1);
    }
}

TEST_CASE(
    "discovery: a listing of the same history does not keep what it lacks in "
    "use",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(in_era(1, 90, "a"), start);
    catalog.replace({}, start);
    CHECK(
        availability_of_only_replica(catalog) ==
        replica_availability::unpublished);
}

TEST_CASE(
    "discovery: a drain that a restored store lacks holds until it would have "
    "been published again",
    "[discovery]")
{
    upstream_catalog catalog;
    auto leaving = in_era(1, 90, "a");
    leaving.draining = true;
    catalog.publish(leaving, start);
    catalog.replace_restored({{in_era(2, 40, "a")}, {}}, start);
    CHECK(
        availability_of_only_replica(catalog) ==
        replica_availability::excluded);

    SECTION("published again as ready")
    {
        catalog.publish(in_era(2, 41, "a"), start + milliseconds{500});
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
    }
    SECTION("not published again")
    {
        CHECK(catalog.expire(lapsed).empty());
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
    }
}

TEST_CASE(
    "discovery: a restored store that names an earlier start of an upstream "
    "does not replace the later one",
    "[discovery]")
{
    upstream_catalog catalog;
    auto restarted = in_era(1, 90, "a");
    restarted.start_id = 8;
    restarted.address = {"10.0.0.2", 8080};
    catalog.publish(restarted, start);
    catalog.replace_restored({{in_era(2, 40, "a")}, {}}, start);
    CHECK(only_replica(catalog).published.start_id == 8);
    CHECK(
        availability_of_only_replica(catalog) == replica_availability::serving);
    CHECK(catalog.expire(lapsed).size() == 1);
}

TEST_CASE(
    "discovery: an exclusion that a restored store lacks holds until it would "
    "have been published again",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(in_era(1, 80, "a"), start);
    catalog.set_domain_excluded("d1", true);
    catalog.replace_restored({{in_era(2, 40, "a")}, {}}, start);
    CHECK(
        availability_of_only_replica(catalog) ==
        replica_availability::excluded);
    CHECK(catalog.expire_exclusions(lapsed - milliseconds{1}).empty());

    SECTION("published again")
    {
        catalog.set_domain_excluded("d1", true);
        CHECK(catalog.expire_exclusions(lapsed).empty());
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::excluded);
    }
    SECTION("published again and ended")
    {
        catalog.set_domain_excluded("d1", true);
        catalog.set_domain_excluded("d1", false);
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
    }
    SECTION("not published again")
    {
        CHECK(
            catalog.expire_exclusions(lapsed) ==
            std::vector<std::string>{"d1"});
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
    }
}

TEST_CASE(
    "discovery: an exclusion that only the restored store has counts at once",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(in_era(1, 80, "a"), start);
    catalog.replace_restored({{in_era(2, 40, "a")}, {"d1"}}, start);
    CHECK(
        availability_of_only_replica(catalog) ==
        replica_availability::excluded);
    CHECK(catalog.expire_exclusions(lapsed).empty());
}

TEST_CASE(
    "discovery: a leaving upstream stays excluded until another start has its "
    "address",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(in_era(1, 80, "a"), start);
    CHECK(catalog.mark_leaving(0));
    CHECK_FALSE(catalog.mark_leaving(0));

    SECTION("published again as ready")
    {
        catalog.publish(in_era(1, 81, "a"), start + seconds{60});
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::excluded);
    }
    SECTION("its publication lapses and returns")
    {
        catalog.withdraw("a", start);
        CHECK(catalog.expire(lapsed).size() == 1);
        catalog.publish(in_era(1, 82, "a"), start + seconds{60});
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::excluded);
    }
    SECTION("listed by a restored store")
    {
        catalog.replace_restored({{in_era(2, 40, "a")}, {}}, start);
        catalog.expire(lapsed);
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::excluded);
    }
    SECTION("started again")
    {
        auto again = in_era(1, 82, "a");
        again.start_id = 8;
        catalog.publish(again, start + seconds{60});
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
    }
    SECTION("another upstream has the address")
    {
        catalog.withdraw("a", start);
        catalog.expire(lapsed);
        catalog.publish(in_era(1, 82, "b"), start + seconds{60});
        CHECK(
            availability_of_only_replica(catalog) ==
            replica_availability::serving);
    }
}

// Guards against attempts that arrive, uncharged, at the upstream that now has
// the address of a lost replica.
TEST_CASE(
    "discovery: an upstream whose address a later one has is excluded",
    "[discovery]")
{
    upstream_catalog catalog;
    const auto is_excluded = [&](replica_number number) {
        return catalog.availability(catalog.at(number)) ==
               replica_availability::excluded;
    };
    auto other = in_era(1, 81, "b");
    other.service = "t";
    SECTION("published later")
    {
        catalog.publish(in_era(1, 80, "a"), start);
        catalog.publish(other, start);
        CHECK(is_excluded(0));
        CHECK_FALSE(is_excluded(1));
        SECTION("unless the earlier one is published again")
        {
            catalog.publish(in_era(1, 82, "a"), start);
            CHECK_FALSE(is_excluded(0));
            CHECK(is_excluded(1));
        }
    }
    SECTION("published after the store came back from a copy")
    {
        catalog.publish(in_era(1, 80, "a"), start);
        other.position = {2, 40};
        SECTION("by a start at another time")
        {
            other.start_id = 8;
        }
        SECTION("with the same time of start") {}
        catalog.publish(other, start);
        CHECK(is_excluded(0));
        CHECK_FALSE(is_excluded(1));
    }
    SECTION("both in one listing, in any order")
    {
        catalog.replace({{other, in_era(1, 80, "a")}, {}}, start);
        CHECK_FALSE(is_excluded(0));
        CHECK(is_excluded(1));
    }
}

TEST_CASE(
    "discovery: a pause that an upstream asked for survives a lapse of its "
    "publication",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(in_era(1, 80, "a"), start);
    catalog.at(0).health.pause_until(start + seconds{60});
    catalog.withdraw("a", start);
    CHECK(catalog.expire(lapsed).size() == 1);
    catalog.publish(in_era(1, 81, "a"), start + seconds{5});
    CHECK(only_replica(catalog).health.paused(start + seconds{5}));
    auto again = in_era(1, 82, "a");
    again.start_id = 8;
    catalog.publish(again, start + seconds{6});
    CHECK_FALSE(only_replica(catalog).health.paused(start + seconds{6}));
}

// Guards against an entry of another program that takes a healthy upstream out
// of use for good, by naming its address.
TEST_CASE(
    "discovery: an upstream of a service that nobody names takes no address",
    "[discovery]")
{
    const auto availability_of = [](const upstream_catalog& catalog,
                                    std::string_view id) {
        return catalog.availability(catalog.at(*catalog.find(id)));
    };
    upstream_catalog catalog;
    catalog.set_services({"s"});
    catalog.publish(record_of("a"), start);
    auto foreign = record_of("foreign", 9);
    foreign.service = "other";
    catalog.publish(foreign, start);
    CHECK(availability_of(catalog, "a") == replica_availability::serving);
    CHECK(
        availability_of(catalog, "foreign") == replica_availability::excluded);

    SECTION("the configuration names its service: the later one has it")
    {
        catalog.set_services({"s", "other"});
        CHECK(availability_of(catalog, "a") == replica_availability::excluded);
        CHECK(
            availability_of(catalog, "foreign") ==
            replica_availability::serving);
    }
    SECTION("it comes before the configuration")
    {
        upstream_catalog early;
        early.publish(record_of("a"), start);
        early.publish(foreign, start);
        CHECK(availability_of(early, "a") == replica_availability::excluded);
        early.set_services({"s"});
        CHECK(availability_of(early, "a") == replica_availability::serving);
    }
}

TEST_CASE(
    "discovery: an address returns to the upstream that answers there",
    "[discovery]")
{
    upstream_catalog catalog;
    catalog.publish(record_of("a"), start);
    catalog.publish(record_of("foreign", 9), start);
    const auto a = *catalog.find("a");
    const auto foreign = *catalog.find("foreign");
    const auto availability = [&](replica_number number) {
        return catalog.availability(catalog.at(number));
    };
    CHECK(availability(a) == replica_availability::excluded);

    SECTION("after an answer of another one")
    {
        catalog.mark_misdirected(foreign);
        CHECK(availability(a) == replica_availability::serving);
        CHECK(availability(foreign) == replica_availability::excluded);
        // Neither is used when the other one doesn't answer there either.
        catalog.mark_misdirected(a);
        CHECK(availability(a) == replica_availability::excluded);
        CHECK(availability(foreign) == replica_availability::excluded);
    }
    SECTION("after the end of the other publication")
    {
        catalog.withdraw("foreign", start);
        (void)catalog.expire(start + upstream_catalog::lapse_return);
        CHECK(availability(a) == replica_availability::serving);
    }
}

// Guards against requests to a replica that asked for a pause after it had
// started again, but before its new start was read from the store.
TEST_CASE(
    "discovery: a pause that the next start may have asked for survives its "
    "publication",
    "[discovery]")
{
    const auto read = start + seconds{5};
    struct example
    {
        duration asked; ///< After the last read.
        bool kept;
    };
    for (const auto& [asked, kept] :
         {example{-seconds{1}, false}, {seconds{1}, true}}) {
        upstream_catalog catalog;
        auto record = record_of("a", 1);
        record.start_id = 1;
        catalog.publish(record, start);
        catalog.confirm(read);
        answer_notice notice;
        notice.pause = seconds{10};
        CHECK(catalog.apply_notice(0, notice, read + asked).paused);
        record.start_id = 2;
        ++record.position.revision;
        catalog.publish(record, read + seconds{2});
        CHECK(only_replica(catalog).health.paused(read + seconds{3}) == kept);
        // The pause of a start that has ended is not kept again.
        catalog.confirm(read + seconds{2});
        record.start_id = 3;
        ++record.position.revision;
        catalog.publish(record, read + seconds{4});
        CHECK_FALSE(only_replica(catalog).health.paused(read + seconds{5}));
    }
}

namespace {

struct noticed_field
{
    const char* name;
    answer_notice notice;
    bool (*known)(const replica& of, time_point now);
};

std::vector<noticed_field> noticed_fields()
{
    std::vector<noticed_field> fields(4);
    fields[0].name = "leaving";
    fields[0].notice.leaving = true;
    fields[0].known = [](const replica& of, time_point) { return of.leaving; };
    fields[1].name = "pause";
    fields[1].notice.pause = seconds{20};
    fields[1].known = [](const replica& of, time_point now) {
        return of.health.paused(now);
    };
    fields[2].name = "cold";
    fields[2].notice.cold_left = seconds{20};
    fields[2].known = [](const replica& of, time_point now) {
        return of.cold(now);
    };
    fields[3].name = "rate limit";
    fields[3].notice.tells_rate_limit = true;
    fields[3].notice.rate_limit = 3.0;
    fields[3].known = [](const replica& of, time_point) {
        return of.rate_limit == 3.0;
    };
    return fields;
}

} // namespace

TEST_CASE(
    "discovery: what another instance was told is known of the right start",
    "[discovery]")
{
    for (const auto& field : noticed_fields()) {
        INFO(field.name);
        const auto now = start + seconds{1};
        const auto publish = [&](upstream_catalog& catalog, std::uint64_t id) {
            auto record = record_of("a", id);
            record.start_id = id;
            catalog.publish(record, now);
        };
        // \returns Whether it is known of the start `published`.
        const auto known = [&](std::uint64_t before,
                               std::uint64_t told,
                               std::uint64_t published) {
            upstream_catalog catalog;
            if (before != 0)
                publish(catalog, before);
            catalog.apply_notice_of("a", told, field.notice, now);
            if (published != before)
                publish(catalog, published);
            return field.known(only_replica(catalog), now);
        };
        CHECK(known(2, 2, 2));
        CHECK(known(2, 0, 2));
        CHECK_FALSE(known(2, 1, 2));
        CHECK_FALSE(known(2, 3, 2));
        // The start isn't published yet.
        CHECK(known(0, 2, 2));
        CHECK(known(0, 0, 2));
        CHECK(known(1, 2, 2));
        CHECK_FALSE(known(0, 1, 2));
        CHECK_FALSE(known(0, 3, 2));
        // Too old.
        upstream_catalog catalog;
        catalog.apply_notice_of(
            "a",
            1,
            field.notice,
            now - upstream_catalog::max_notice_age - seconds{1});
        publish(catalog, 1);
        CHECK_FALSE(field.known(only_replica(catalog), now));
    }
}
