#include "frame_error.hpp"
#include "link/admission.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

const std::string key = "key of the fleet";

link_hello hello_of(const std::string& instance_id)
{
    return {instance_id, 17, make_nonce()};
}

} // namespace

TEST_CASE("admission - proofs are bound to key, seats, order and nonces")
{
    const auto one = hello_of("one");
    const auto two = hello_of("two");
    const link_proofs proofs{key, one, two};
    CHECK(same_proof(
        proofs.of_listener(), link_proofs{key, one, two}.of_listener()));
    CHECK(proofs.of_listener() != proofs.of_connector());
    CHECK(proofs.of_listener() != link_proofs{"x", one, two}.of_listener());
    CHECK(proofs.of_listener() != link_proofs{key, two, one}.of_listener());
    auto later = one;
    ++later.incarnation;
    CHECK(proofs.of_connector() != link_proofs{key, later, two}.of_connector());
    const auto fresh = hello_of("two");
    CHECK(proofs.frame_key() != link_proofs{key, one, fresh}.frame_key());
}

TEST_CASE("admission - hellos are checked")
{
    const auto frame = encode_hello(hello_of("one"));
    CHECK(decode_hello(frame).instance_id == "one");
    CHECK_THROWS_AS(decode_hello(frame + "x"), frame_error);
    CHECK_THROWS_AS(decode_hello(std::string(1000, '\x81')), frame_error);
    CHECK_THROWS_AS(
        decode_hello(encode_hello({"one", 1, "short"})), frame_error);
    CHECK_THROWS_AS(decode_hello(encode_hello(hello_of(""))), frame_error);
    CHECK_THROWS_AS(decode_challenge(frame), frame_error);
}

TEST_CASE("admission - replayed, reordered, spliced and changed frames fail")
{
    frame_sealer sender{"session"};
    const auto first = sender.seal("first");
    const auto second = sender.seal("second");
    frame_sealer receiver{"session"};
    CHECK_FALSE(receiver.open(second));
    CHECK(receiver.open(first) == "first");
    CHECK_FALSE(receiver.open(first));
    auto changed = second;
    changed.back() = 'D';
    CHECK_FALSE(receiver.open(changed));
    CHECK_FALSE(receiver.open(frame_sealer{"other"}.seal("second")));
    CHECK_FALSE(receiver.open("short"));
    CHECK(receiver.open(second) == "second");
}
