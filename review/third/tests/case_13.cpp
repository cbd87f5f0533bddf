// Another writer leaves entries below `servers/` whose bytes can't be read. As
// on the platform, a process above its memory limit is killed, and started
// again after a short delay.

#include "lab.hpp"

using namespace lab;

namespace {

// Limits of the pages.
constexpr std::size_t value_bytes = 1048576;
constexpr std::int64_t restart_ms = 500;
// Seven writes a second, of 400 that the store takes.
constexpr int foreign_entries = 400;
constexpr std::int64_t write_gap_ms = 143;
// Ends of a process in the day, and machines, from which the day counts 0.
constexpr int ends_of_fault = 3;
constexpr int machines_of_fault = 2;

} // namespace

int main(int, char** arguments)
{
    open_record(std::string{arguments[1]} + "/record.txt");
    const int network = free_network();
    const auto address = [&](int kind, int number) {
        return "127." + std::to_string(network) + "." + std::to_string(kind) +
               "." + std::to_string(number);
    };
    store shared;
    std::vector<std::unique_ptr<gateway>> fleet;
    for (int i = 1; i <= 3; ++i) {
        shared.add_link(address(0, i), 8229);
        fleet.push_back(std::make_unique<gateway>(network, i, 8229));
    }
    shared.put("op/config", desk_configuration("safe", 2000));
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 1; i <= 3; ++i) {
        replicas.push_back(std::make_unique<replica>(
            shared,
            "i-" + std::to_string(i),
            "desk",
            address(2, i),
            8080,
            "likoni"));
        replicas.back()->start();
    }
    for (const auto& each : fleet)
        each->start();
    if (!wait_ready(fleet, 15000)) {
        record("the gateways did not become ready");
        finish(2);
    }

    std::atomic<bool> stopped{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::thread client{[&] {
        std::size_t turn = 0;
        while (!stopped) {
            const auto& host = fleet[turn++ % fleet.size()]->host();
            const auto to = connect_to(host, gateway::front, 500);
            std::optional<message> answer;
            if (to && to->write(request_text(
                          "GET", "/panel/1", "desk.example", new_id(), 2000)))
                answer = to->read(2500, true);
            ++(answer && answer->status() == 200 ? served : failed);
            sleep_ms(50);
        }
    }};
    std::thread writer{[&] {
        sleep_ms(2000);
        std::string bytes(value_bytes, '\0');
        for (std::size_t i = 0; i < bytes.size(); ++i)
            bytes[i] = static_cast<char>(i * 7919 >> 3);
        for (int i = 0; with_trouble() && i < foreign_entries; ++i) {
            shared.put("servers/x-" + std::to_string(i), bytes);
            if (i % 20 == 19)
                record("%d entries of another writer", i + 1);
            sleep_ms(write_gap_ms);
        }
    }};

    // The platform: kills above the limit, and starts again.
    struct process_state
    {
        int ends = 0;
        std::int64_t start_at = -1;
        std::int64_t most_mb = 0;
    };
    std::vector<process_state> states(fleet.size());
    std::int64_t served_at = now_ms();
    int last_served = 0;
    int at_fault = 0;
    const auto end = now_ms() + 2000 + foreign_entries * write_gap_ms + 20000;
    while (now_ms() < end && at_fault < static_cast<int>(fleet.size())) {
        at_fault = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            auto& process = *fleet[i];
            auto& state = states[i];
            if (state.start_at >= 0) {
                if (now_ms() >= state.start_at) {
                    process.start();
                    state.start_at = -1;
                }
            }
            else {
                const auto size = process.resident_mb();
                state.most_mb = std::max(state.most_mb, size);
                const bool above = size > gateway::memory_mb;
                if (above || !process.running()) {
                    record(
                        "gateway %zu ends, with %d MB",
                        i + 1,
                        static_cast<int>(size));
                    process.kill();
                    ++state.ends;
                    state.start_at = now_ms() + restart_ms;
                }
            }
            at_fault += state.ends >= ends_of_fault ? 1 : 0;
        }
        if (served != last_served) {
            last_served = served;
            served_at = now_ms();
        }
        sleep_ms(5);
    }
    stopped = true;
    client.join();
    for (std::size_t i = 0; i < fleet.size(); ++i)
        record(
            "gateway %zu: at most %d MB of %d, ended %d times",
            i + 1,
            static_cast<int>(states[i].most_mb),
            gateway::memory_mb,
            states[i].ends);
    record(
        "%d requests served, %d not; the last one was served %d ms before the "
        "end",
        served.load(),
        failed.load(),
        static_cast<int>(now_ms() - served_at));
    for (const auto& each : fleet)
        each->kill();
    const bool broken = at_fault >= machines_of_fault;
    record(broken ? "the rule is broken" : "the rule held");
    finish(served == 0 ? 2 : broken ? 1 : 0);
}
