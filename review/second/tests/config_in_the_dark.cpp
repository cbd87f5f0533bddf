#include "cases.hpp"

#include <unistd.h>

#include <filesystem>

namespace review {

namespace {

constexpr int instances = 3;
constexpr int shards = 10;
constexpr int client_count = 32;
constexpr int rounds = 13;
constexpr int ends_of_a_crash_loop = 3;
constexpr int machines_of_a_crash_loop = 2;
constexpr milliseconds dark_time{1500};
constexpr milliseconds calm_time{2500};

class deployment
{
public:
    deployment(recorder& record, const std::string& host) : store_{host, 8229}
    {
        std::uint16_t port = 9000;
        const auto add = [&](const std::string& service, int slots) {
            services_.push_back(service_json(service, 36));
            for (int i = 0; i < 3; ++i) {
                replicas_.push_back(std::make_unique<replica>(
                    replica::identity{
                        "i-" + service + "-" + std::to_string(i),
                        service,
                        "zone-" + std::to_string(i % 2),
                        host,
                        port++,
                        static_cast<unsigned>(slots)},
                    record));
                auto& added = *replicas_.back();
                added.writes_record = false;
                added.holds_records = service != "desk";
                store_.put("servers/" + added.self().id, added.entry());
            }
        };
        for (int i = 0; i < shards; ++i) {
            const auto name = "shard" + std::to_string(i);
            add(name, 4);
            gather_ += (i == 0 ? "\"" : ",\"") + name + "\"";
        }
        add("desk", 4);
    }

    /// Publishes the next configuration: only the version and one timeout
    /// differ from the one before.
    void publish()
    {
        version_ += 2;
        const int desk_timeout = version_ % 4 == 0 ? 3900 : 4000;
        store_.put(
            "op/config",
            config_json(
                version_,
                {route_json(
                     "r-history",
                     "/history/",
                     "safe",
                     800,
                     R"("gather":[)" + gather_ +
                         R"(],"topK":10,"minShardShare":0.89)"),
                 route_json(
                     "r-desk",
                     "/desk/",
                     "safe",
                     desk_timeout,
                     R"("service":"desk")")},
                services_));
    }

    void set_dark(bool dark)
    {
        std::vector<std::thread> threads;
        for (auto& each : replicas_)
            threads.emplace_back([&each, dark] { each->set_dark(dark); });
        for (auto& each : threads)
            each.join();
    }

private:
    store store_;
    std::vector<std::unique_ptr<replica>> replicas_;
    std::vector<std::string> services_;
    std::string gather_;
    std::uint64_t version_ = 0;
};

/// Sends one request after the other on a kept connection, as long as that
/// lasts.
void run_client(
    int number,
    const platform& machines,
    recorder& record,
    const std::atomic<bool>& stopped)
{
    const int instance = number % instances;
    const bool searches = number % 3 != 0;
    std::optional<connection> kept;
    for (int count = 0; !stopped; ++count) {
        if (!kept || kept->descriptor() < 0) {
            kept.reset();
            auto made = connect_to(
                machines.host(instance),
                platform::callers_port(),
                milliseconds{1000});
            if (!made) {
                pause_for(milliseconds{100});
                continue;
            }
            kept.emplace(std::move(*made));
        }
        const auto id =
            "c" + std::to_string(number) + "-" + std::to_string(count);
        const int deadline = searches ? 800 : 4000;
        const auto done =
            ask(*kept,
                record,
                instance,
                id,
                request_text(
                    "GET", searches ? "/history/2f" : "/desk/2f", id, deadline),
                milliseconds{deadline});
        if (done.status == 0)
            kept.reset();
        pause_for(milliseconds{30});
    }
}

} // namespace

int config_in_the_dark(const std::string& folder)
{
    recorder record{folder + "/record.txt"};
    const auto temporary = std::filesystem::temp_directory_path() /
                           ("review-2-" + std::to_string(::getpid()));
    std::filesystem::create_directories(temporary);
    const auto host = addresses.others();
    int looping = 0;
    {
        deployment served{record, host};
        served.publish();
        platform machines{
            {temporary.string(), instances, host + ":8229", 0}, record};
        if (!machines.wait_until_ready(milliseconds{8000})) {
            record.line("the instances are not ready");
            return exit_not_run;
        }
        std::atomic<bool> stopped = false;
        std::vector<std::thread> clients;
        for (int i = 0; i < client_count; ++i)
            clients.emplace_back(
                [&, i] { run_client(i, machines, record, stopped); });
        const auto count_loops = [&] {
            int count = 0;
            for (int i = 0; i < instances; ++i)
                count += machines.own_ends(i) >= ends_of_a_crash_loop ? 1 : 0;
            return count;
        };
        for (int round = 0;
             round < rounds && count_loops() < machines_of_a_crash_loop;
             ++round) {
            pause_for(calm_time);
            if (with_trouble()) {
                record.line("all replicas fall silent");
                served.set_dark(true);
            }
            pause_for(milliseconds{150});
            record.line("a configuration is acknowledged");
            served.publish();
            pause_for(dark_time);
            if (with_trouble()) {
                served.set_dark(false);
                record.line("all replicas are back");
            }
        }
        stopped = true;
        for (auto& each : clients)
            each.join();
        for (int i = 0; i < instances; ++i) {
            record.line(
                "front-" + std::to_string(i) + " ended by itself " +
                std::to_string(machines.own_ends(i)) + " times");
        }
        looping = count_loops();
    }
    std::filesystem::remove_all(temporary);
    const bool broken = looping >= machines_of_a_crash_loop;
    record.line(
        broken ? "BROKEN: Fault, " + std::to_string(looping) + " of " +
                     std::to_string(instances) + " machines in a crash loop"
               : "held");
    return broken ? exit_broken : exit_held;
}

} // namespace review
