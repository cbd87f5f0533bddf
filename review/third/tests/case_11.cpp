// A replica that is healthy by its checks fails a part of its requests: it has
// run them, and answers with a 503 or 429 of its own, which doesn't state that
// they were not run. Clients follow the promise that these statuses make, and
// send their non-idempotent requests again.

#include "lab.hpp"

#include <cstdlib>

using namespace lab;

namespace {

// Dose of the small deployments: srv_grey with share 0.14 and x 0.45.
constexpr int replica_count = 7; // One of them fails.
constexpr int fails_of_20 = 9;

constexpr int clients = 6;
constexpr int requests_each = 60;
constexpr std::int64_t deadline_ms = 4000;

/// By request id: how often replicas ran it.
struct run_log
{
    std::mutex mutex;
    std::map<std::string, int> runs;
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
    run_log log;
    store shared;
    std::vector<std::unique_ptr<gateway>> fleet;
    for (int i = 1; i <= 3; ++i) {
        shared.add_link(address(0, i), 8229);
        fleet.push_back(std::make_unique<gateway>(network, i, 8229));
    }
    shared.put("op/config", desk_configuration("unsafe", deadline_ms));
    std::vector<std::unique_ptr<replica>> replicas;
    std::atomic<int> arrived{0};
    for (int i = 1; i <= replica_count; ++i) {
        replicas.push_back(std::make_unique<replica>(
            shared,
            "i-" + std::to_string(i),
            "desk",
            address(2, i),
            8080,
            "likoni"));
        auto* const self = replicas.back().get();
        const bool grey = with_trouble() && i == 1;
        self->on_request = [&, self, grey](
                               connection& to, const message& request) {
            const auto id = request.field("Peridotward-Request-Id");
            if (request.method() == "GET")
                return to.write(
                    "HTTP/1.1 200 OK\r\nPeridotward-Instance-Id: " +
                    self->id() + "\r\nContent-Length: 0\r\n\r\n");
            {
                const std::lock_guard lock{log.mutex};
                ++log.runs[id];
            }
            sleep_ms(20);
            const int turn = grey ? arrived++ : -1;
            const bool fails = turn >= 0 && turn % 20 < fails_of_20;
            const std::string status = turn % 2 == 0 ? "503 Service Unavailable"
                                                     : "429 Too Many Requests";
            record(
                "replica %s runs %s (%s), answers %s",
                self->id().c_str(),
                id.c_str(),
                request.body.c_str(),
                fails ? status.c_str() : "200 OK");
            if (!fails)
                return self->answer(to, request, "done");
            return to.write(
                "HTTP/1.1 " + status + "\r\nPeridotward-Request-Id: " + id +
                "\r\nPeridotward-Server-Stamp: " + self->stamp(request) +
                "\r\nContent-Length: 6\r\n\r\nfailed");
        };
        self->start();
    }
    for (const auto& each : fleet)
        each->start();
    if (!wait_ready(fleet, 15000)) {
        record("the gateways did not become ready");
        finish(2);
    }

    std::mutex mutex;
    int refused_and_run = 0;
    int repeated_work = 0;
    int answered = 0;
    const auto ask = [&](const std::string& host,
                         const std::string& id,
                         const std::string& booking) {
        const auto to = connect_to(host, gateway::front, 1000);
        if (!to ||
            !to->write(request_text(
                "POST", "/panel/1", "desk.example", id, deadline_ms, booking)))
            return 0;
        const auto answer = to->read(deadline_ms + 1000, true);
        return answer ? answer->status() : 0;
    };
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int i = 0; i < requests_each; ++i) {
                const auto host =
                    fleet[static_cast<std::size_t>(client) % fleet.size()]
                        ->host();
                const auto booking = "booking-" + std::to_string(client) + "-" +
                                     std::to_string(i);
                const auto first = new_id();
                const int status = ask(host, first, booking);
                bool ran = false;
                {
                    const std::lock_guard lock{log.mutex};
                    ran = log.runs[first] > 0;
                }
                const bool promise = status == 429 || status == 503 ||
                                     status == 408 || status == 421;
                record(
                    "client %d: %s (%s) gets %d%s",
                    client,
                    first.c_str(),
                    booking.c_str(),
                    status,
                    promise && ran ? ", REFUSED: it has run" : "");
                const std::lock_guard lock{mutex};
                answered += status == 200 ? 1 : 0;
                if (!promise)
                    continue;
                // One retry, on a new connection, after a promise.
                const auto second = new_id();
                const int again = ask(host, second, booking);
                const std::lock_guard run_lock{log.mutex};
                refused_and_run += ran ? 1 : 0;
                repeated_work += ran && log.runs[second] > 0 ? 1 : 0;
                record(
                    "client %d: sends it again as %s, gets %d",
                    client,
                    second.c_str(),
                    again);
            }
        });
    }
    for (auto& each : threads)
        each.join();
    record(
        "%d of %d requests served at once; %d answered as not run after they "
        "had run (REFUSED); %d of these were run a second time for the "
        "client's retry",
        answered,
        clients * requests_each,
        refused_and_run,
        repeated_work);
    bool all_run = true;
    for (const auto& each : fleet)
        all_run = each->running() && all_run;
    fleet.clear();
    record(refused_and_run > 0 ? "the rule is broken" : "the rule held");
    finish(!all_run || answered == 0 ? 2 : refused_and_run > 0 ? 1 : 0);
}
