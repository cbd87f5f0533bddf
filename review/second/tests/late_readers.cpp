#include "cases.hpp"

#include <unistd.h>

#include <algorithm>
#include <filesystem>

namespace review {

namespace {

constexpr int instances = 2;
constexpr int clients_per_instance = 160;
constexpr int rounds = 3;
constexpr unsigned memory_mb = 260;
/// Requests without an answer that break the rule.
constexpr int max_lost = 3;
constexpr std::size_t answer_bytes = 2'000'000;
constexpr int deadline_ms = 4000;
/// How late a client begins to read a large answer.
constexpr milliseconds lateness{2000};
/// Calm before each round: the machines are in touch.
constexpr milliseconds calm_time{5000};

struct result
{
    std::string id; ///< Of the request for the large answer.
    bool first_served = false;
    bool closed_by_instance = false;
    bool whole = false;
};

/// Sends a small request, and on the same connection one for a large answer.
result
run_client(int number, int round, const platform& machines, recorder& record)
{
    result seen;
    const int instance = number % instances;
    auto made = connect_to(
        machines.host(instance),
        platform::callers_port(),
        milliseconds{1000},
        true);
    if (!made)
        return seen;
    const auto name =
        "r" + std::to_string(round) + "-c" + std::to_string(number);
    const auto first =
        ask(*made,
            record,
            instance,
            name + "-1",
            request_text("GET", "/list/2f", name + "-1", deadline_ms),
            milliseconds{deadline_ms});
    seen.first_served = first.status == 200;
    if (!seen.first_served)
        return seen;
    const auto until = steady::now() + milliseconds{deadline_ms};
    const auto id = name + "-2";
    seen.id = id;
    record.line("send " + id + " to front-" + std::to_string(instance));
    const bool sent =
        made->send(request_text("GET", "/photo/2f", id, deadline_ms), until);
    if (with_trouble())
        pause_for(lateness);
    const auto answer = sent ? made->read(until) : std::nullopt;
    seen.whole = answer && answer->status() == 200 &&
                 answer->body.size() == answer_bytes;
    seen.closed_by_instance = !answer && made->descriptor() < 0;
    record.line(
        "end " + id + " at front-" + std::to_string(instance) +
        (answer ? " " + std::to_string(answer->status()) + ", " +
                      std::to_string(answer->body.size()) + " bytes"
                : std::string{" without a whole answer"}) +
        (seen.closed_by_instance ? ", closed by the instance" : ""));
    return seen;
}

} // namespace

int late_readers(const std::string& folder)
{
    recorder record{folder + "/record.txt"};
    const auto temporary = std::filesystem::temp_directory_path() /
                           ("review-2-" + std::to_string(::getpid()));
    std::filesystem::create_directories(temporary);
    const auto host = addresses.others();
    int lost = 0;
    int whole = 0;
    int others = 0;
    {
        store entries{host, 8229};
        std::vector<std::unique_ptr<replica>> replicas;
        for (int i = 0; i < 16; ++i) {
            const bool photos = i >= 4;
            const std::string service = photos ? "photos" : "lists";
            replicas.push_back(std::make_unique<replica>(
                replica::identity{
                    "i-" + service + "-" + std::to_string(i),
                    service,
                    "zone-" + std::to_string(i % 2),
                    host,
                    static_cast<std::uint16_t>(9000 + i),
                    8},
                record));
            replicas.back()->work_ms = photos ? 50 : 5;
            if (photos)
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
                     "r-list",
                     "/list/",
                     "safe",
                     deadline_ms,
                     R"("service":"lists")"),
                 route_json(
                     "r-photo",
                     "/photo/",
                     "safe",
                     deadline_ms,
                     R"("service":"photos")")},
                {service_json("lists", 110), service_json("photos", 110)}));
        platform machines{
            {temporary.string(), instances, host + ":8229", memory_mb}, record};
        if (!machines.wait_until_ready(milliseconds{8000})) {
            record.line("the instances are not ready");
            return exit_not_run;
        }
        for (int round = 0; round < rounds; ++round) {
            pause_for(calm_time);
            std::vector<result> results(instances * clients_per_instance);
            std::vector<std::thread> clients;
            for (int i = 0; i < instances * clients_per_instance; ++i) {
                clients.emplace_back([&, i] {
                    results[static_cast<std::size_t>(i)] =
                        run_client(i, round, machines, record);
                });
                pause_for(milliseconds{4});
            }
            for (auto& each : clients)
                each.join();
            for (const auto& each : results) {
                const bool ran = std::any_of(
                    replicas.begin(),
                    replicas.end(),
                    [&](const auto& candidate) {
                        return candidate->has_run(each.id);
                    });
                lost += ran && each.closed_by_instance ? 1 : 0;
                whole += each.whole ? 1 : 0;
                others += !each.whole && !(ran && each.closed_by_instance);
            }
        }
        for (int i = 0; i < instances; ++i)
            record.line(
                "front-" + std::to_string(i) + " used " +
                std::to_string(machines.peak_mb(i)) +
                " MB at most and ended by itself " +
                std::to_string(machines.own_ends(i)) + " times");
    }
    std::filesystem::remove_all(temporary);
    record.line(
        std::to_string(whole) + " whole large answers, " +
        std::to_string(lost) + " connections closed without one, " +
        std::to_string(others) + " other ends");
    const bool broken = lost > max_lost;
    record.line(broken ? "BROKEN: LOST" : "held");
    return broken ? exit_broken : exit_held;
}

} // namespace review
