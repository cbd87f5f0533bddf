#include <peridotward/config/config.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;

namespace {

const std::string examples = PERIDOTWARD_EXAMPLES;

bundle_ptr load(const std::string& name)
{
    const auto parsed = parse_bundle(read_file(examples + "/" + name).value());
    INFO((parsed ? "" : parsed.error().message));
    REQUIRE(parsed);
    return *parsed;
}

} // namespace

TEST_CASE("example bundles - both are valid and have the deployment's size")
{
    const auto pwani = load("pwani/bundle.jsonc");
    CHECK(pwani->upstreams.size() == 25 * 3 + 40 + 20);
    CHECK(pwani->domains.size() == 3);
    const auto authority = load("authority/bundle.jsonc");
    CHECK(authority->upstreams.size() == 25 * 3 + 7 + 4);
    CHECK(authority->domains.size() == 4);
}

TEST_CASE("example settings - the settings of all instances are valid")
{
    for (const char* prefix : {"pwani/pw-", "authority/mc-"}) {
        for (int i = 1; i <= 8; ++i) {
            const auto loaded = load_settings(
                examples + "/" + prefix + std::to_string(i) + ".jsonc");
            INFO((loaded ? "" : loaded.error().message));
            CHECK(loaded);
        }
    }
}
