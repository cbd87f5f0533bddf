// Load pattern: more instances than a replica allows connections, each with few
// requests, in virtual time.

#include <peridotward/base/random.hpp>
#include <peridotward/core/budgets/connection_share.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <map>

using namespace peridotward;

namespace {

constexpr std::uint32_t bound = 125;
constexpr seconds request_interval{2}; ///< Of one instance.
constexpr seconds length{20};
constexpr milliseconds work{20};
/// Idle time after which a replica closes a connection.
constexpr seconds replica_idle{10};

/// \returns The largest number of connections to one of three replicas.
int max_connections(std::uint32_t instances, std::uint32_t senders)
{
    random_source random{7};
    std::map<duration, int> changes;
    for (std::uint32_t i = 0; i < instances; ++i) {
        fleet_view fleet;
        fleet.others.resize(instances - 1);
        fleet.senders = senders;
        fleet.sends = i < senders;
        const auto max_idle = std::min<duration>(
            connection_share::max_idle(bound, fleet), replica_idle);
        duration open_from{};
        duration open_until{};
        for (duration at{random.below(static_cast<std::uint64_t>(
                 duration{request_interval}.count()))};
             at < length;
             at += request_interval) {
            if (random.below(3) != 0)
                continue;
            if (at > open_until) {
                ++changes[open_from];
                --changes[open_until];
                open_from = at;
            }
            open_until = at + work + max_idle;
        }
        ++changes[open_from];
        --changes[open_until];
    }
    int open = 0;
    int most = 0;
    for (const auto& [at, change] : changes) {
        open += change;
        most = std::max(most, open);
    }
    return most;
}

} // namespace

TEST_CASE(
    "connections: idle ones of all instances leave room at a replica",
    "[directory]")
{
    CHECK(max_connections(8, 8) <= static_cast<int>(bound));
    CHECK(max_connections(79, 15) <= static_cast<int>(bound));
    CHECK(max_connections(195, 15) <= static_cast<int>(bound));
    CHECK(max_connections(195, 195) <= static_cast<int>(bound));
    CHECK(max_connections(740, 64) <= static_cast<int>(bound));
    CHECK(max_connections(740, 740) <= static_cast<int>(bound));
}

TEST_CASE(
    "connections: those that are part of the limit stay open", "[directory]")
{
    fleet_view fleet;
    fleet.others.resize(7);
    fleet.senders = 8;
    CHECK(connection_share::max_idle(bound, fleet) == duration::max());
    fleet.others.resize(194);
    fleet.senders = 15;
    CHECK(connection_share::max_idle(bound, fleet) == duration::max());
    CHECK(connection_share::max_idle(0, fleet) == duration::max());
    fleet.sends = false;
    CHECK(
        connection_share::max_idle(bound, fleet) ==
        connection_share::max_unshared_idle);
}
