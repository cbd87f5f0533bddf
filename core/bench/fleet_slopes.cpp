// Prints the cost of membership and budgets for several fleet sizes, simulated
// in one process and in virtual time, and compares the rules for sending.

#include "fleet_simulation.hpp"

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
    shape.instances = instances;
    shape.domains = 5;
    shape.replicas = 5;
    shape.services = upstreams / shape.replicas;
    const auto before = bytes_in_use();
    fleet_simulation simulation{shape, 1};
    simulation.load = 0;
    simulation.run_for(min_warm_up + warm_up_per_instance * instances);
    const auto memory = (bytes_in_use() - before) / instances;
    simulation.counts = {};
    const auto started = processor_seconds();
    simulation.run_for(measured_time);
    const auto cpu_used = processor_seconds() - started;
    const auto instance_seconds = static_cast<double>(instances) *
                                  static_cast<double>(measured_time.count());
    std::printf(
        "| %u | %u | %.0f | %.1f | %.3f | %.0f |\n",
        instances,
        upstreams,
        static_cast<double>(simulation.counts.bytes) / instance_seconds,
        static_cast<double>(simulation.counts.messages) / instance_seconds,
        100.0 * cpu_used / instance_seconds,
        memory / 1024.0);
    std::fflush(stdout);
}

/// Prints the table row of one rule, under the same faults for each rule.
void compare(const char* name, send_rule rule)
{
    fleet_shape shape;
    shape.instances = 8;
    shape.domains = 3;
    shape.services = 25;
    shape.replicas = 3;
    shape.slots = 4;
    fleet_simulation simulation{shape, 7};
    simulation.rule = rule;
    simulation.run_for(seconds{6});
    simulation.counts = {};
    simulation.run_for(seconds{10});
    const auto fault_free = simulation.counts;
    simulation.counts = {};
    simulation.split(0b00001111);
    simulation.run_for(seconds{5});
    simulation.kill("n2");
    simulation.run_for(seconds{5});
    simulation.heal();
    simulation.start("n2");
    simulation.pause("n5", seconds{10});
    simulation.run_for(seconds{15});
    std::printf(
        "| %s | %llu | %llu | %llu | %llu |\n",
        name,
        static_cast<unsigned long long>(fault_free.sent / 10),
        static_cast<unsigned long long>(fault_free.limit_violations / 10),
        static_cast<unsigned long long>(simulation.counts.sent / 25),
        static_cast<unsigned long long>(
            simulation.counts.limit_violations / 25));
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
