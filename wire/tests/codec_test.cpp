#include "message_generators.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/wire/codec.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using namespace peridotward;

namespace {

constexpr std::size_t megabyte = 1U << 20U;
constexpr auto message_types = std::variant_size_v<peer_message>;

/// Checks a property on 300 random cases with a fixed seed.
template<class Property>
void check_property(const char* name, Property property)
{
    ::setenv("RC_PARAMS", "seed=20261203 max_success=300", 1);
    CHECK(rc::check(name, property));
}

void expect_refused(const std::string& frame, const std::string& reason)
{
    const auto decoded = decode(frame);
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().kind == error_kind::frame_invalid);
    CHECK_THAT(decoded.error().message, Catch::Contains(reason));
}

std::string frame_of(std::initializer_list<int> bytes)
{
    return {bytes.begin(), bytes.end()};
}

} // namespace

TEST_CASE("codec - decoding an encoded message returns the same message")
{
    check_property("decode after encode", [] {
        const auto tag = *rc::gen::inRange<std::size_t>(0, message_types);
        const auto frame = encode(random_message(tag));
        const auto decoded = decode(frame);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->index() == tag);
        RC_ASSERT(encode(*decoded) == frame);
    });
}

TEST_CASE("codec - a decoded reply has the members of the encoded one")
{
    sub_reply reply;
    reply.id = attempt_id{77};
    reply.outcome = attempt_outcome::shed;
    reply.status = 503;
    reply.report = {upstream_phase::cold, 3, {6, 7}};
    reply.body = std::string{"\0\x81\xff", 3};
    const auto decoded = decode(encode(reply)).value();
    const auto& copy = std::get<sub_reply>(decoded);
    CHECK(copy.id == reply.id);
    CHECK(copy.outcome == reply.outcome);
    CHECK(copy.status == reply.status);
    CHECK(copy.report.phase == reply.report.phase);
    CHECK(copy.report.snapshots.newest == 7);
    CHECK(copy.body == reply.body);
}

TEST_CASE("codec - deep nesting and lengths beyond the frame are rejected")
{
    for (const char byte : {'\x81', '\x9f', '\x5f', '\x7f', '\xbf', '\xc1'}) {
        INFO("byte " << static_cast<int>(byte));
        expect_refused(std::string(megabyte, byte), "expected");
    }
    expect_refused(
        frame_of({0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
        "an array of 18446744073709551615 items in 0 bytes");
    expect_refused(
        frame_of({0x82, 6, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
        "");
}

TEST_CASE("codec - errors name the invalid member and value")
{
    expect_refused("", "expected an array");
    expect_refused(frame_of({0x81, 0x18, 99}), "type 99 does not exist");
    expect_refused(frame_of({0x81, 6}), "expected 2 members, not 1");
    expect_refused(frame_of({0x82, 6, 0xf5}), "attempts: expected an array");
    expect_refused(frame_of({0x82, 6, 0x81, 0x20}), "expected a number");
    expect_refused(encode(sub_cancel{}) + "x", "bytes follow");
    sub_reply reply;
    reply.outcome = attempt_outcome{200};
    expect_refused(encode(reply), "outcome: 200 is not a known value");
    sub_request request;
    request.attempts.push_back({});
    request.attempts.back().range = {9, 3};
    expect_refused(encode(request), "first key 9 is above last 3");
    probe probed;
    probed.updates.push_back({});
    probed.updates.back().peers = {"example.org", 80};
    expect_refused(encode(probed), "updates: peers");
    expect_refused(
        encode(sub_cancel{std::vector<attempt_id>(max_list_items + 1)}),
        "at most 65536");
}

TEST_CASE("codec - corrupted frames are rejected or decode to whole messages")
{
    check_property("decode corrupted frame", [] {
        const auto tag = *rc::gen::inRange<std::size_t>(0, message_types);
        auto frame = encode(random_message(tag));
        random_source random{*rc::gen::arbitrary<std::uint64_t>()};
        for (auto remaining_changes = 1 + random.below(4);
             remaining_changes > 0;
             --remaining_changes)
            frame[random.below(frame.size())] =
                static_cast<char>(random.below(256));
        if (random.below(2) == 0)
            frame.resize(random.below(frame.size() + 1));
        const auto decoded = decode(frame);
        const bool valid = decoded ? encode(*decoded).size() <= frame.size()
                                   : !decoded.error().message.empty();
        RC_ASSERT(valid);
    });
}

TEST_CASE("codec - decoding random bytes returns errors")
{
    random_source random{33};
    std::size_t refused = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string frame(random.below(64), '\0');
        for (auto& byte : frame)
            byte = static_cast<char>(random.next());
        if (!decode(frame))
            ++refused;
    }
    CHECK(refused > 0);
}
