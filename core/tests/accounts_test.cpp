// Client accounts: which requests their keys admit.

#include <peridotward/core/accounts/authentication.hpp>
#include <peridotward/core/routing/pinned_route.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>

using namespace peridotward;

namespace {

std::shared_ptr<forward_config> config_with_accounts()
{
    auto built = std::make_shared<forward_config>();
    auto& config = *built;
    config.version = 3;
    config.routes.resize(2);
    config.routes[0].name = "closed";
    config.routes[1].name = "open";
    config.routes[1].open_to_all = true;
    config.accounts.add({"desk", 0, {21, 21}}, {"key-1", "key-2"});
    config.accounts.add({"port", {}, {}}, {"key-3"});
    return built;
}

authentication
try_key(const forward_config_ptr& config, std::string_view value, int route = 0)
{
    return authenticate(config, config->routes[route], {1, value, "Token"});
}

} // namespace

TEST_CASE("accounts: a known key names its account", "[accounts]")
{
    const auto config = config_with_accounts();
    for (const char* value :
         {"Token key-1", "token key-2", "TOKEN   key-1", "Token key-1 "}) {
        INFO(value);
        const auto result = try_key(config, value);
        CHECK(result.outcome == authentication_outcome::accepted);
        REQUIRE(result.account != nullptr);
        CHECK(result.account->name == "desk");
    }
    CHECK(try_key(config, "Token key-3").account->name == "port");
}

TEST_CASE("accounts: unknown keys are rejected", "[accounts]")
{
    const auto config = config_with_accounts();
    for (const char* value : {"Token key-", "Token key-11", "Token KEY-1"})
        CHECK(
            try_key(config, value).outcome ==
            authentication_outcome::unknown_key);
}

TEST_CASE(
    "accounts: malformed, doubled and oversized fields are rejected",
    "[accounts]")
{
    const auto config = config_with_accounts();
    const auto oversized =
        "Token " + std::string(account_directory::max_key_bytes + 1, 'k');
    for (const std::string_view value :
         {std::string_view{""},
          std::string_view{"key-1"},
          std::string_view{"Token"},
          std::string_view{"Token "},
          std::string_view{"Tokenkey-1"},
          std::string_view{"Bearer key-1"},
          std::string_view{"Token key-1 key-2"},
          std::string_view{"Token key-1,key-2"}.substr(0, 9),
          std::string_view{"Token key\0-1", 12},
          std::string_view{oversized}}) {
        INFO(value);
        CHECK(
            try_key(config, value).outcome != authentication_outcome::accepted);
    }
    const auto& route = config->routes[0];
    CHECK(
        authenticate(config, route, {2, "Token key-1", "Token"}).outcome ==
        authentication_outcome::malformed);
    CHECK(
        authenticate(config, route, {0, "", "Token"}).outcome ==
        authentication_outcome::no_key);
}

TEST_CASE("accounts: open routes need no key", "[accounts]")
{
    const auto config = config_with_accounts();
    CHECK(
        authenticate(config, config->routes[1], {0, "", "Token"}).outcome ==
        authentication_outcome::accepted);
    CHECK(
        try_key(config, "Token wrong", 1).outcome ==
        authentication_outcome::accepted);
    CHECK(try_key(config, "Token wrong", 1).account == nullptr);
    CHECK(try_key(config, "Token key-1", 1).account->name == "desk");
}

TEST_CASE("accounts: without accounts, no route needs a key", "[accounts]")
{
    auto config = config_with_accounts();
    config->accounts = {};
    CHECK(
        try_key(config, "Token key-1").outcome ==
        authentication_outcome::accepted);
    CHECK(try_key(config, "Token key-1").account == nullptr);
}

TEST_CASE(
    "accounts: instances with other keys handle a route differently",
    "[accounts]")
{
    const auto before = config_with_accounts();
    auto after = config_with_accounts();
    after->accounts = {};
    after->accounts.add({"desk", 0, {21, 21}}, {"key-1"});
    after->accounts.add({"port", {}, {}}, {"key-3"});
    CHECK(pinned_route(before, 0).digest() != pinned_route(after, 0).digest());
}

TEST_CASE("accounts: no other text is taken for a key", "[accounts]")
{
    const auto config = config_with_accounts();
    rc::check("only the right keys are accepted", [&](const std::string& text) {
        const auto value = "Token " + text;
        const auto result = try_key(config, value);
        RC_ASSERT(result.account == nullptr || text.find("key-") != text.npos);
    });
}
