// Prints the cost of a bundle change by fleet size, in virtual time, and the
// processor time to assemble a bundle.

#include "../tests/config_publisher.hpp"

#include <ctime>
#include <iostream>

namespace {

using namespace peridotward;
using namespace peridotward::testing;

constexpr int change_count = 10;
constexpr duration change_interval = seconds{20};
constexpr duration slice = milliseconds{1};

/// Frame header, tag and TCP/IP headers of one message, in bytes.
constexpr std::uint64_t frame_bytes = 160;

/// Totals over the members of a fleet.
struct totals
{
    std::uint64_t calls = 0;
    std::uint64_t service_bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t peer_bytes = 0;
    std::vector<std::uint64_t> sent; ///< Bytes sent to peers, by member.
};

totals read_totals(config_fleet& fleet)
{
    totals sum;
    for (const auto& entry : fleet.members()) {
        const auto& counted = entry->store->counters();
        sum.calls += counted.service_calls;
        sum.service_bytes += counted.service_bytes;
        sum.messages += counted.peer_messages;
        const auto sent =
            counted.peer_bytes_sent + counted.peer_messages * frame_bytes;
        sum.peer_bytes += sent;
        sum.sent.push_back(sent);
    }
    return sum;
}

bool all_have(config_fleet& fleet, bundle_version version)
{
    for (const auto& entry : fleet.members()) {
        const auto& current = entry->store->in_force();
        if (!current || current->version != version)
            return false;
    }
    return true;
}

double milliseconds_of(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

void measure(int instances)
{
    sample_size size = design_size;
    size.instances = instances;
    config_publisher publisher{size};
    config_fleet fleet{instances, publisher.policy(), 3};
    publisher.publish(fleet, 1);
    fleet.start_all();
    fleet.run(change_interval);
    const auto before = read_totals(fleet);
    duration max_delay{0};
    for (bundle_version version = 2; version < 2 + change_count; ++version) {
        const auto published = fleet.now();
        publisher.publish(fleet, version);
        while (!all_have(fleet, version))
            fleet.run(slice);
        max_delay = std::max(max_delay, fleet.now() - published);
        fleet.run(change_interval - (fleet.now() - published));
    }
    const auto after = read_totals(fleet);
    std::uint64_t most_sent = 0;
    for (std::size_t i = 0; i < after.sent.size(); ++i)
        most_sent = std::max(most_sent, after.sent[i] - before.sent[i]);
    const auto divisor = static_cast<std::uint64_t>(change_count);
    const auto instance_divisor =
        divisor * static_cast<std::uint64_t>(instances);
    std::cout << instances << "\t" << milliseconds_of(max_delay) << "\t"
              << (after.calls - before.calls) / divisor << "\t"
              << (after.service_bytes - before.service_bytes) / divisor << "\t"
              << (after.messages - before.messages) / divisor << "\t"
              << (after.peer_bytes - before.peer_bytes) / instance_divisor
              << "\t" << most_sent / divisor << "\n";
}

void measure_assembly()
{
    const auto files = split_bundle(sample_bundle(1, design_size)).value();
    constexpr int rounds = 20;
    const auto start = std::clock();
    for (int i = 0; i < rounds; ++i)
        assemble_bundle(files.root, files.parts).value();
    const auto spent = std::clock() - start;
    std::size_t bytes = 0;
    for (const auto& [digest, part] : files.parts)
        bytes += part.size();
    std::cout << "one assembly of " << files.parts.size() << " parts, " << bytes
              << " bytes: "
              << 1000.0 * static_cast<double>(spent) / CLOCKS_PER_SEC / rounds
              << " ms of processor time\n";
}

} // namespace

int main()
{
    std::cout << "each change, at 3201 upstreams, one change per 20 s\n"
              << "fleet\tlast ms\tcalls\tservice B\tmessages\tpeer B each\t"
                 "most sent B\n";
    for (const int instances : {8, 16, 32, 64})
        measure(instances);
    measure_assembly();
}
