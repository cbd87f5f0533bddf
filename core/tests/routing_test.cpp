#include <peridotward/core/routing/pinned_route.hpp>
#include <peridotward/core/routing/weighted_round_robin.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <memory>

using namespace peridotward;

namespace {

forward_route make_route(std::string host, std::string prefix)
{
    forward_route route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.prefix = std::move(prefix);
    return route;
}

} // namespace

TEST_CASE(
    "routing: the longest matching prefix of a host is found", "[routing]")
{
    const auto config = std::make_shared<forward_config>();
    config->routes = {
        make_route("a.example", "/x/"),
        make_route("a.example", "/x/y/"),
        make_route("b.example", "/"),
    };
    config->build_index();
    const auto find = [&](std::string_view host, std::string_view path) {
        return pinned_route::find(config, host, path);
    };

    CHECK((*find("a.example", "/x/y/z"))->prefix == "/x/y/");
    CHECK((*find("a.example", "/x/y/"))->prefix == "/x/y/");
    CHECK((*find("a.example", "/x/yy"))->prefix == "/x/");
    CHECK((*find("b.example", "/anything"))->prefix == "/");
    CHECK_FALSE(find("a.example", "/x"));
    CHECK_FALSE(find("a.example", "/other/"));
    CHECK_FALSE(find("c.example", "/x/"));
    CHECK_FALSE(find("a.example", ""));
}

TEST_CASE(
    "routing: after any number of requests the shares follow the weights",
    "[routing]")
{
    auto route = make_route("a.example", "/");
    route.targets = {{0, 5}, {1, 3}, {2, 2}};
    weighted_round_robin balancer;
    std::map<forward_service_index, int> counts;
    for (int i = 1; i <= 500; ++i) {
        ++counts[balancer.next(route)];
        CHECK(std::abs(counts[0] - 0.5 * i) <= 1);
        CHECK(std::abs(counts[1] - 0.3 * i) <= 1);
        CHECK(std::abs(counts[2] - 0.2 * i) <= 1);
    }
}

TEST_CASE("routing: a service with weight 0 gets no requests", "[routing]")
{
    auto route = make_route("a.example", "/");
    route.targets = {{0, 1}, {1, 0}};
    weighted_round_robin balancer;
    for (int i = 0; i < 50; ++i)
        CHECK(balancer.next(route) == 0);
}
