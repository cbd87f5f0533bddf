#include "cases.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>

namespace review {

namespace {

constexpr int client_count = 6;
/// Requests without a whole answer that break the rule.
constexpr int max_lost = 3;
constexpr std::size_t answer_bytes = 2'000'000;
constexpr std::size_t request_bytes = 40'000;
constexpr int work_ms = 100;
constexpr int deadline_ms = 4000;
/// A client begins to read an answer twice this time after it has begun to
/// arrive, and sends its next request in between.
constexpr milliseconds lateness{300};
constexpr milliseconds patience{14000};

struct result
{
    bool first_whole = false;
    bool closed_by_instance = false;
};

result run_client(int number, const platform& machines, recorder& record)
{
    result seen;
    auto made = connect_to(
        machines.host(0), platform::callers_port(), milliseconds{1000}, true);
    if (!made)
        return seen;
    const auto until = steady::now() + patience;
    const auto name = "c" + std::to_string(number);
    const auto later = request_text(
        "POST",
        "/desk/next",
        name + "-2",
        deadline_ms,
        std::string(request_bytes, 'b'));
    record.line("send " + name + "-1 to front-0");
    bool sent = made->send(
        request_text("GET", "/desk/photo", name + "-1", deadline_ms), until);
    // Without the disruption the next request is sent as early, but the client
    // reads all the while.
    if (with_trouble())
        pause_for(milliseconds{work_ms} + lateness);
    record.line("send " + name + "-2 to front-0");
    sent = sent && made->send(later, until);
    if (!sent)
        return seen;
    if (with_trouble())
        pause_for(lateness);
    record.line(name + " reads");
    for (int i = 1; i <= 2; ++i) {
        const auto answer = made->read(until);
        record.line(
            "end " + name + "-" + std::to_string(i) + " " +
            (answer ? std::to_string(answer->status()) + ", " +
                          std::to_string(answer->body.size()) + " bytes"
                    : "without a whole answer, " +
                          std::to_string(made->buffered()) +
                          " bytes of it arrived, " +
                          (made->descriptor() < 0 ? "closed by the instance"
                                                  : "still open")));
        const bool whole = answer && answer->status() == 200 &&
                           answer->body.size() == answer_bytes;
        if (i == 1) {
            seen.first_whole = whole;
            seen.closed_by_instance = !answer && made->descriptor() < 0;
        }
        if (!whole)
            break;
    }
    return seen;
}

} // namespace

int late_reader(const std::string& folder)
{
    recorder record{folder + "/record.txt"};
    const auto temporary = std::filesystem::temp_directory_path() /
                           ("review-2-" + std::to_string(::getpid()));
    std::filesystem::create_directories(temporary);
    const auto host = addresses.others();
    int lost = 0;
    int whole = 0;
    {
        store entries{host, 8229};
        std::vector<std::unique_ptr<replica>> replicas;
        for (int i = 0; i < 3; ++i) {
            replicas.push_back(std::make_unique<replica>(
                replica::identity{
                    "i-desk-" + std::to_string(i),
                    "desk",
                    "zone-" + std::to_string(i % 2),
                    host,
                    static_cast<std::uint16_t>(9000 + i),
                    4},
                record));
            replicas.back()->work_ms = work_ms;
            replicas.back()->answer_bytes = answer_bytes;
            entries.put(
                "servers/" + replicas.back()->self().id,
                replicas.back()->entry());
        }
        entries.put(
            "op/config",
            config_json(
                2,
                {route_json(
                    "r-desk",
                    "/desk/",
                    "safe",
                    deadline_ms,
                    R"("service":"desk")")},
                {service_json("desk", 110)}));
        platform machines{{temporary.string(), 2, host + ":8229", 260}, record};
        if (!machines.wait_until_ready(milliseconds{8000})) {
            record.line("the instances are not ready");
            return exit_not_run;
        }
        // The machines are in touch after 4 s without a disruption.
        pause_for(milliseconds{4500});
        std::vector<result> results(client_count);
        std::vector<std::thread> clients;
        for (int i = 0; i < client_count; ++i) {
            clients.emplace_back([&, i] {
                results[static_cast<std::size_t>(i)] =
                    run_client(i, machines, record);
            });
            pause_for(milliseconds{200});
        }
        for (auto& each : clients)
            each.join();
        for (int i = 0; i < client_count; ++i) {
            const auto& each = results[static_cast<std::size_t>(i)];
            const auto id = "c" + std::to_string(i) + "-1";
            const bool ran = std::any_of(
                replicas.begin(), replicas.end(), [&](const auto& candidate) {
                    return candidate->has_run(id);
                });
            lost += ran && each.closed_by_instance ? 1 : 0;
            whole += each.first_whole ? 1 : 0;
        }
        record.line(
            "largest memory of front-0: " +
            std::to_string(machines.peak_mb(0)) + " MB, ended by itself " +
            std::to_string(machines.own_ends(0)) + " times");
    }
    std::filesystem::remove_all(temporary);
    record.line(
        std::to_string(whole) + " whole answers, " + std::to_string(lost) +
        " connections closed without one");
    const bool broken = lost > max_lost;
    record.line(broken ? "BROKEN: LOST" : "held");
    if (!broken && whole < client_count)
        return exit_not_run;
    return broken ? exit_broken : exit_held;
}

} // namespace review
