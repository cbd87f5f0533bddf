#include "frame_error.hpp"
#include "link/handshake.hpp"

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

const std::string key = "key of the fleet";

link_hello make_hello(const std::string& instance_id)
{
    return {instance_id, 17, make_nonce()};
}

} // namespace

TEST_CASE("handshake - proofs depend on key, instances, their order and nonces")
{
    const auto one = make_hello("one");
    const auto two = make_hello("two");
    const link_proofs proofs{key, one, two};
    CHECK(equal_constant_time(
        proofs.listener_proof(), link_proofs{key, one, two}.listener_proof()));
    CHECK(proofs.listener_proof() != proofs.connector_proof());
    CHECK(
        proofs.listener_proof() != link_proofs{"x", one, two}.listener_proof());
    CHECK(
        proofs.listener_proof() != link_proofs{key, two, one}.listener_proof());
    auto later = one;
    ++later.incarnation;
    CHECK(
        proofs.connector_proof() !=
        link_proofs{key, later, two}.connector_proof());
    const auto fresh = make_hello("two");
    CHECK(proofs.frame_key() != link_proofs{key, one, fresh}.frame_key());
}

TEST_CASE("handshake - invalid hello frames throw frame_error")
{
    const auto frame = encode_hello(make_hello("one"));
    CHECK(decode_hello(frame).instance_id == "one");
    CHECK_THROWS_AS(decode_hello(frame + "x"), frame_error);
    CHECK_THROWS_AS(decode_hello(std::string(1000, '\x81')), frame_error);
    CHECK_THROWS_AS(
        decode_hello(encode_hello({"one", 1, "short"})), frame_error);
    CHECK_THROWS_AS(decode_hello(encode_hello(make_hello(""))), frame_error);
    CHECK_THROWS_AS(decode_challenge(frame), frame_error);
}

TEST_CASE(
    "handshake - replayed, reordered, foreign or altered frames are rejected")
{
    frame_authenticator sender{"session"};
    const auto first = sender.add_mac("first");
    const auto second = sender.add_mac("second");
    frame_authenticator receiver{"session"};
    CHECK_FALSE(receiver.verify_mac(second));
    CHECK(receiver.verify_mac(first) == "first");
    CHECK_FALSE(receiver.verify_mac(first));
    auto changed = second;
    changed.back() = 'D';
    CHECK_FALSE(receiver.verify_mac(changed));
    CHECK_FALSE(
        receiver.verify_mac(frame_authenticator{"other"}.add_mac("second")));
    CHECK_FALSE(receiver.verify_mac("short"));
    CHECK(receiver.verify_mac(second) == "second");
}
