// Measures what membership and budgets cost at several sizes of the fleet, in
// one process and in virtual time, and compares the rules of sending.

#include "fleet_simulation.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

/// Until the news of all starts have spread, by the number of instances.
constexpr milliseconds warm_up_per_instance{400};
constexpr seconds shortest_warm_up{30};
constexpr seconds measured{20};

double processor_seconds()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) +
           static_cast<double>(used.tv_nsec) * 1e-9;
}

double bytes_in_use()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Prints one line of the table for one size.
void measure(std::uint32_t instances, std::uint32_t upstreams)
{
    fleet_shape shape;
    shape.instances = instances;
    shape.domains = 5;
    shape.replicas = 5;
    shape.services = upstreams / shape.replicas;
    const auto before = bytes_in_use();
    fleet_simulation world{shape, 1};
    world.load = 0;
    world.run_for(shortest_warm_up + warm_up_per_instance * instances);
    const auto memory = (bytes_in_use() - before) / instances;
    world.counts = {};
    const auto started = processor_seconds();
    world.run_for(measured);
    const auto used = processor_seconds() - started;
    const auto node_seconds =
        static_cast<double>(instances) * static_cast<double>(measured.count());
    std::printf(
        "| %u | %u | %.0f | %.1f | %.3f | %.0f |\n",
        instances,
        upstreams,
        static_cast<double>(world.counts.bytes) / node_seconds,
        static_cast<double>(world.counts.messages) / node_seconds,
        100.0 * used / node_seconds,
        memory / 1024.0);
    std::fflush(stdout);
}

/// Prints one line: what one rule does under the same faults.
void compare(const char* name, send_rule rule)
{
    fleet_shape shape;
    shape.instances = 8;
    shape.domains = 3;
    shape.services = 25;
    shape.replicas = 3;
    shape.slots = 4;
    fleet_simulation world{shape, 7};
    world.rule = rule;
    world.run_for(seconds{6});
    world.counts = {};
    world.run_for(seconds{10});
    const auto calm = world.counts;
    world.counts = {};
    world.split(0b00001111);
    world.run_for(seconds{5});
    world.kill("n2");
    world.run_for(seconds{5});
    world.heal();
    world.start("n2");
    world.pause("n5", seconds{10});
    world.run_for(seconds{15});
    std::printf(
        "| %s | %llu | %llu | %llu | %llu |\n",
        name,
        static_cast<unsigned long long>(calm.sent / 10),
        static_cast<unsigned long long>(calm.limit_violations / 10),
        static_cast<unsigned long long>(world.counts.sent / 25),
        static_cast<unsigned long long>(world.counts.limit_violations / 25));
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::puts("| instances | upstreams | bytes/s sent | messages/s sent | "
              "% of a core | KB of memory |\n|--|--|--|--|--|--|");
    for (const std::uint32_t instances : {8U, 16U, 32U, 64U})
        measure(instances, 125);
    for (const std::uint32_t upstreams : {250U, 500U, 1000U})
        measure(64, upstreams);
    measure(740, 3200);
    std::puts(
        "\n| rule | sent/s, calm | above a limit/s | sent/s, faults | above a "
        "limit/s |\n|--|--|--|--|--|");
    compare("leases", send_rule::leases);
    compare("static shares", send_rule::static_shares);
    compare("no coordination", send_rule::no_coordination);
    return 0;
}
