// Prints the cost of membership and budgets for several fleet sizes, simulated
// in one process and in virtual time, and compares the rules for sending.

#include "fleet_world.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>

using namespace peridotward;
using namespace peridotward::fleet_test;

namespace {

/// Time for the membership updates of all starts to spread, by instance.
constexpr milliseconds warm_up_per_instance{400};
constexpr seconds min_warm_up{30};
constexpr seconds measured_time{20};

double processor_seconds()
{
    timespec cpu_used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu_used);
    return static_cast<double>(cpu_used.tv_sec) +
           static_cast<double>(cpu_used.tv_nsec) * 1e-9;
}

double bytes_in_use()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Prints the table row of one fleet size.
void measure(std::uint32_t instances, std::uint32_t upstreams)
{
    fleet_shape shape;
    shape.seats = instances;
    shape.domains = 5;
    shape.replicas = 5;
    shape.services = upstreams / shape.replicas;
    const auto before = bytes_in_use();
    fleet_world world{shape, 1};
    world.load = 0;
    world.run_for(min_warm_up + warm_up_per_instance * instances);
    const auto memory = (bytes_in_use() - before) / instances;
    world.counts = {};
    const auto started = processor_seconds();
    world.run_for(measured_time);
    const auto cpu_used = processor_seconds() - started;
    const auto instance_seconds = static_cast<double>(instances) *
                                  static_cast<double>(measured_time.count());
    std::printf(
        "| %u | %u | %.0f | %.1f | %.3f | %.0f |\n",
        instances,
        upstreams,
        static_cast<double>(world.counts.bytes) / instance_seconds,
        static_cast<double>(world.counts.messages) / instance_seconds,
        100.0 * cpu_used / instance_seconds,
        memory / 1024.0);
    std::fflush(stdout);
}

/// Prints the table row of one rule, under the same faults for each rule.
void compare(const char* name, send_rule rule)
{
    fleet_shape shape;
    shape.seats = 8;
    shape.domains = 3;
    shape.services = 25;
    shape.replicas = 3;
    shape.slots = 4;
    fleet_world world{shape, 7};
    world.rule = rule;
    world.run_for(seconds{6});
    world.counts = {};
    world.run_for(seconds{10});
    const auto fault_free = world.counts;
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
        static_cast<unsigned long long>(fault_free.sent / 10),
        static_cast<unsigned long long>(fault_free.over / 10),
        static_cast<unsigned long long>(world.counts.sent / 25),
        static_cast<unsigned long long>(world.counts.over / 25));
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
