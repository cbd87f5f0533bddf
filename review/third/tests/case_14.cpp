// One of three gateways is cut off from the replicas and the store, and lets
// the others serve its clients. Meanwhile a replica begins to leave, and says
// so in an answer that the cut-off gateway passes on. The cut ends.

#include "lab.hpp"

using namespace lab;

namespace {

// Bounds of the pages.
constexpr std::int64_t drain_ms = 3000;
// Doses of the small deployments: node_cut for 5.5 s, and platform_down for
// some machines (nodes reset) for 9 s.
constexpr std::int64_t cut_ms = 5500;
constexpr std::int64_t outage_ms = 9000;
constexpr int replica_count = 3;
constexpr int client_count = 8;
constexpr std::int64_t work_ms = 60;

// Precision of the times that this process takes.
constexpr std::int64_t tolerance_ms = 50;

struct question
{
    std::string id;
    std::int64_t sent_at = 0;
    std::int64_t answered_at = 0;
    int status = 0;
    bool says_leaving = false;
};

struct arrival
{
    std::string id;
    std::int64_t at = 0;
};

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
        // Gateway 1 reaches the replicas at addresses of their own.
        shared.add_link(address(0, i), 8229, i == 1);
        fleet.push_back(std::make_unique<gateway>(network, i, 8229));
    }
    shared.put("op/config", desk_configuration("safe", 2000));
    std::mutex mutex;
    std::vector<arrival> arrivals; // At the replica that leaves.
    std::vector<std::unique_ptr<replica>> replicas;
    for (int i = 1; i <= replica_count; ++i) {
        replicas.push_back(std::make_unique<replica>(
            shared,
            "i-" + std::to_string(i),
            "desk",
            address(2, i),
            8080,
            "likoni"));
        auto* const self = replicas.back().get();
        self->add_second_address(address(3, i));
        self->on_request =
            [&, self, i](connection& to, const message& request) {
                if (i == 1) {
                    const std::lock_guard lock{mutex};
                    arrivals.push_back(
                        {request.field("Peridotward-Request-Id"), now_ms()});
                }
                sleep_ms(work_ms);
                return self->answer(to, request, "record");
            };
        self->start();
    }
    for (const auto& each : fleet)
        each->start();
    if (!wait_ready(fleet, 15000)) {
        record("the gateways did not become ready");
        finish(2);
    }

    std::vector<question> asked;
    std::atomic<bool> stopped{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < client_count; ++i) {
        clients.emplace_back([&] {
            std::unique_ptr<connection> kept;
            while (!stopped) {
                if (!kept)
                    kept = connect_to(fleet[0]->host(), gateway::front, 1000);
                question one;
                one.id = new_id();
                one.sent_at = now_ms();
                std::optional<message> answer;
                if (kept &&
                    kept->write(request_text(
                        "GET", "/panel/1", "desk.example", one.id, 2000)))
                    answer = kept->read(3000, true);
                one.answered_at = now_ms();
                if (answer) {
                    one.status = answer->status();
                    one.says_leaving = answer->field("Server-Leaving") == "1";
                }
                if (!answer || answer->field("Connection") == "close")
                    kept.reset();
                {
                    const std::lock_guard lock{mutex};
                    asked.push_back(one);
                }
                sleep_ms(answer ? 20 : 100);
            }
        });
    }

    sleep_ms(2000);
    if (with_trouble()) {
        record("gateway 1 is cut off from the replicas, and the store turns it "
               "away");
        for (const auto& each : replicas)
            each->cut_second_address();
        shared.set_mode(0, store::mode::refusing);
    }
    const auto cut_ends = now_ms() + cut_ms;
    const auto outage_ends = now_ms() + outage_ms;
    sleep_ms(2000);
    replicas[0]->leaving = true;
    replicas[0]->drain();
    record("replica i-1 begins to leave, and serves on");
    sleep_until_ms(cut_ends);
    if (with_trouble()) {
        for (const auto& each : replicas)
            each->heal_second_address();
        record("the cut ends");
    }
    sleep_until_ms(outage_ends);
    shared.set_mode(0, store::mode::serving);
    record("the store serves all gateways");
    sleep_ms(1000);
    stopped = true;
    for (auto& each : clients)
        each.join();

    std::int64_t passed_on_at = -1;
    std::map<int, int> ends;
    std::map<std::string, question> by_id;
    for (const auto& each : asked) {
        ++ends[each.status];
        by_id[each.id] = each;
        if (each.says_leaving &&
            (passed_on_at < 0 || each.answered_at < passed_on_at))
            passed_on_at = each.answered_at;
    }
    for (const auto& [status, count] : ends)
        record("status %d: %d answers", status, count);
    int broken = 0;
    if (passed_on_at >= 0) {
        record(
            "at %.3f gateway 1 had passed on an answer of i-1 with "
            "Server-Leaving",
            static_cast<double>(passed_on_at) / 1000);
        for (const auto& each : arrivals) {
            const auto from = by_id.find(each.id);
            if (from == by_id.end() ||
                from->second.sent_at <= passed_on_at + drain_ms + tolerance_ms)
                continue;
            ++broken;
            record(
                "DRAIN: request %s, sent to gateway 1 %d ms after that, "
                "reached "
                "i-1",
                each.id.c_str(),
                static_cast<int>(from->second.sent_at - passed_on_at));
        }
    }
    bool all_run = true;
    for (const auto& each : fleet)
        all_run = each->running() && all_run;
    fleet.clear();
    record(
        "%d requests reached the leaving replica too late: %s",
        broken,
        broken > 0 ? "the rule is broken" : "the rule held");
    finish(!all_run || passed_on_at < 0 ? 2 : broken > 0 ? 1 : 0);
}
