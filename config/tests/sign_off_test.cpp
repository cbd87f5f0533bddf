#include <peridotward/config/sign_off.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

manifest sample_manifest()
{
    manifest root;
    root.version = 7;
    root.deployment = "pwani";
    root.digest = std::string(64, 'a');
    root.parts = {{"services/certify-0", std::string(64, 'b'), 12}};
    return root;
}

} // namespace

TEST_CASE("sign-off - the required number of approvers must sign")
{
    const auto first = make_key_pair().value();
    const auto second = make_key_pair().value();
    sign_off_policy policy;
    policy.required = 2;
    policy.approvers = {
        parse_approver_key(first.public_pem).value(),
        parse_approver_key(second.public_pem).value()};
    auto root = sample_manifest();
    REQUIRE(sign_manifest(root, first.private_pem));
    REQUIRE(sign_manifest(root, first.private_pem));
    CHECK(root.signatures.size() == 1);
    CHECK(
        check_sign_off(root, policy).error().kind ==
        error_kind::signature_invalid);
    REQUIRE(sign_manifest(root, second.private_pem));
    CHECK(check_sign_off(root, policy));

    SECTION("a duplicate signature counts once")
    {
        root.signatures[1] = root.signatures[0];
        CHECK_FALSE(check_sign_off(root, policy));
    }
    SECTION("a changed version, digest or part invalidates signatures")
    {
        auto changed = root;
        ++changed.version;
        CHECK_FALSE(check_sign_off(changed, policy));
        changed = root;
        changed.digest[0] = 'c';
        CHECK_FALSE(check_sign_off(changed, policy));
        changed = root;
        changed.parts[0].digest[5] = 'c';
        CHECK_FALSE(check_sign_off(changed, policy));
    }
    SECTION("a signature by another key does not count")
    {
        policy.approvers.pop_back();
        CHECK_FALSE(check_sign_off(root, policy));
    }
    SECTION("signatures stay valid after writing and parsing")
    {
        const auto read = parse_manifest(manifest_text(root)).value();
        CHECK(check_sign_off(read, policy));
    }
}

TEST_CASE("sign-off - unusable keys are refused")
{
    CHECK_FALSE(parse_approver_key(""));
    CHECK_FALSE(parse_approver_key("-----BEGIN PUBLIC KEY-----\n"));
    const auto pair = make_key_pair().value();
    CHECK_FALSE(parse_approver_key(pair.private_pem));
    auto root = sample_manifest();
    CHECK_FALSE(sign_manifest(root, pair.public_pem));
    CHECK(root.signatures.empty());
}
