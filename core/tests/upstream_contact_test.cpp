#include <peridotward/core/placement/upstream_contact.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr std::size_t known = 30;

} // namespace

TEST_CASE("contact: it is lost when several upstreams are silent", "[contact]")
{
    upstream_contact contact;
    for (replica_number i = 0; i < 3; ++i)
        contact.on_tried(i, start + milliseconds{i});
    contact.check(known, start + milliseconds{599});
    CHECK_FALSE(contact.lost());
    CHECK(contact.silent(start + milliseconds{599}));
    contact.check(known, start + milliseconds{600});
    CHECK(contact.lost());
    contact.on_heard();
    CHECK_FALSE(contact.lost());
    CHECK_FALSE(contact.silent(start + seconds{9}));
}

TEST_CASE("contact: one silent upstream doesn't end it", "[contact]")
{
    upstream_contact contact;
    for (int i = 0; i < 100; ++i)
        contact.on_tried(7, start + milliseconds{100 * i});
    contact.check(known, start + seconds{10});
    CHECK_FALSE(contact.lost());
    contact.check(1, start + seconds{10});
    CHECK(contact.lost());
}

TEST_CASE("contact: any sign of an upstream keeps it", "[contact]")
{
    upstream_contact contact;
    for (int i = 0; i < 100; ++i) {
        const auto now = start + milliseconds{100 * i};
        for (replica_number number = 0; number < 9; ++number)
            contact.on_tried(number, now);
        contact.check(known, now);
        CHECK_FALSE(contact.lost());
        if (i % 5 == 4)
            contact.on_heard();
    }
}

TEST_CASE("contact: without a try nothing is known of it", "[contact]")
{
    upstream_contact contact;
    contact.check(0, start);
    contact.check(known, start + seconds{60});
    CHECK_FALSE(contact.lost());
    CHECK_FALSE(contact.silent(start + seconds{60}));
}
