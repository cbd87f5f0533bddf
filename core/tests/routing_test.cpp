#include <peridotward/core/routing/forward_config.hpp>
#include <peridotward/core/routing/weighted_turn.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

using namespace peridotward;

namespace {

forward_route route_of(std::string host, std::string prefix)
{
    forward_route route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    return route;
}

} // namespace

TEST_CASE("routing: the longest prefix of the host wins", "[routing]")
{
    forward_config config;
    config.routes = {
        route_of("a.example", "/x/"),
        route_of("a.example", "/x/y/"),
        route_of("b.example", "/"),
    };
    config.build_index();

    CHECK(config.find("a.example", "/x/y/z")->prefix == "/x/y/");
    CHECK(config.find("a.example", "/x/y/")->prefix == "/x/y/");
    CHECK(config.find("a.example", "/x/yy")->prefix == "/x/");
    CHECK(config.find("b.example", "/anything")->prefix == "/");
    CHECK(config.find("a.example", "/x") == nullptr);
    CHECK(config.find("a.example", "/other/") == nullptr);
    CHECK(config.find("c.example", "/x/") == nullptr);
    CHECK(config.find("a.example", "") == nullptr);
}

TEST_CASE("routing: weights are kept in every run of requests", "[routing]")
{
    auto route = route_of("a.example", "/");
    route.targets = {{0, 5}, {1, 3}, {2, 2}};
    weighted_turn turns;
    std::map<forward_service_index, int> seen;
    for (int i = 1; i <= 500; ++i) {
        ++seen[turns.next(route)];
        CHECK(std::abs(seen[0] - 0.5 * i) <= 1);
        CHECK(std::abs(seen[1] - 0.3 * i) <= 1);
        CHECK(std::abs(seen[2] - 0.2 * i) <= 1);
    }
}

TEST_CASE("routing: a weight of zero gets nothing", "[routing]")
{
    auto route = route_of("a.example", "/");
    route.targets = {{0, 1}, {1, 0}};
    weighted_turn turns;
    for (int i = 0; i < 50; ++i)
        CHECK(turns.next(route) == 0);
}
