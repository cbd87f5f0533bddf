// Large configurations come in quick succession. The last of them moves a route
// to another service, whose replicas are registered before. Later the replicas
// of the old service drain.

#include "lab.hpp"

using namespace lab;

namespace {

// Bounds of the pages.
constexpr std::int64_t config_apply_ms = 3000;
constexpr std::int64_t drain_ms = 3000;
constexpr std::size_t value_bytes = 1048576;
// Doses of the small deployments: config_storm for 2 s with a gap of 0.08 s,
// and big_config with 350 routes, which comes seventeen times before.
constexpr int storm_changes = 25;
constexpr std::int64_t storm_gap_ms = 80;
constexpr int idle_routes = 17 * 350;

// Precision of the times that this process takes.
constexpr std::int64_t tolerance_ms = 100;

std::string configuration(int version, const std::string& service)
{
    const auto route = [&](const std::string& name,
                           const std::string& host,
                           const std::string& prefix,
                           const std::string& to) {
        return R"({"name":")" + name + R"(","host":")" + host +
               R"(","prefix":")" + prefix +
               R"(","kind":"safe","timeoutMs":2000,"targetLatencyMs":400,)" +
               R"("priority":2,"service":")" + to + R"(","maxAttempts":2})";
    };
    std::string routes = route("r-desk", "desk.example", "/panel/", service);
    for (int i = 0; i < idle_routes; ++i) {
        const auto number = std::to_string(100000 + i);
        routes += "," + route(
                            "r-idle" + number,
                            "hufi27.example",
                            "/idle" + number + "/",
                            "old");
    }
    const auto served = [](const std::string& name) {
        return R"({"name":")" + name +
               R"(","healthPath":"/healthz","maxConnections":110,)"
               R"("protocol":"h1","tls":false,"warmupS":3.0,)"
               R"("warmupPerS":0.0})";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           routes + R"(],"services":[)" + served("old") + "," + served("new") +
           R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

struct question
{
    std::size_t gateway = 0;
    std::string id;
    std::int64_t sent_at = 0;
    int status = 0;
};

struct run
{
    std::string replica;
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
        shared.add_link(address(0, i), 8229);
        fleet.push_back(std::make_unique<gateway>(network, i, 8229));
    }
    std::vector<std::string> versions;
    for (int i = 0; i <= storm_changes; ++i)
        versions.push_back(
            configuration(i + 2, i < storm_changes ? "old" : "new"));
    record(
        "configurations of %zu bytes, at most %zu",
        versions.back().size(),
        value_bytes);
    if (versions.back().size() > value_bytes)
        finish(2);
    shared.put("op/config", versions.front());

    std::mutex mutex;
    std::map<std::string, run> runs;
    std::vector<std::unique_ptr<replica>> replicas;
    const auto add = [&](const std::string& service, int number) {
        replicas.push_back(std::make_unique<replica>(
            shared,
            "i-" + service + std::to_string(number),
            service,
            address(service == "old" ? 2 : 3, number),
            8080,
            "likoni"));
        auto* const self = replicas.back().get();
        self->on_request = [&, self](connection& to, const message& request) {
            {
                const std::lock_guard lock{mutex};
                runs[request.field("Peridotward-Request-Id")] = {
                    self->id(), now_ms()};
            }
            sleep_ms(20);
            return self->answer(to, request, "record");
        };
        self->start();
    };
    for (int i = 1; i <= 3; ++i)
        add("old", i);
    for (int i = 1; i <= 3; ++i)
        add("new", i);
    for (const auto& each : fleet)
        each->start();
    if (!wait_ready(fleet, 15000)) {
        record("the gateways did not become ready");
        finish(2);
    }

    // One client asks each gateway about eight times a second.
    std::vector<question> asked;
    std::atomic<bool> stopped{false};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        clients.emplace_back([&, i] {
            std::unique_ptr<connection> kept;
            while (!stopped) {
                if (!kept)
                    kept = connect_to(fleet[i]->host(), gateway::front, 1000);
                question one{i, new_id(), now_ms(), 0};
                std::optional<message> answer;
                if (kept &&
                    kept->write(request_text(
                        "GET", "/panel/1", "desk.example", one.id, 2000)))
                    answer = kept->read(3000, true);
                if (answer)
                    one.status = answer->status();
                if (!answer || answer->field("Connection") == "close")
                    kept.reset();
                {
                    const std::lock_guard lock{mutex};
                    asked.push_back(one);
                }
                sleep_ms(100);
            }
        });
    }

    sleep_ms(3000);
    if (with_trouble()) {
        const auto begin = now_ms();
        for (int i = 1; i < storm_changes; ++i) {
            shared.put("op/config", versions[static_cast<std::size_t>(i)]);
            record("version %d is acknowledged", i + 2);
            sleep_until_ms(begin + i * storm_gap_ms);
        }
    }
    shared.put("op/config", versions.back());
    const auto moved_at = now_ms();
    record(
        "version %d, which moves /panel/ from service old to new, is "
        "acknowledged",
        storm_changes + 2);
    sleep_ms(config_apply_ms + 500);
    const auto draining_at = now_ms();
    for (std::size_t i = 0; i < 3; ++i)
        replicas[i]->drain();
    record("the replicas of service old report that they drain");
    sleep_ms(drain_ms + 4000);
    stopped = true;
    for (auto& each : clients)
        each.join();

    int late_old = 0;
    int late_drained = 0;
    std::map<std::size_t, std::map<int, int>> ends;
    for (const auto& each : asked) {
        if (each.sent_at <= moved_at + config_apply_ms + tolerance_ms)
            continue;
        ++ends[each.gateway][each.status];
        const auto ran = runs.find(each.id);
        if (ran == runs.end() || !ran->second.replica.starts_with("i-old"))
            continue;
        const bool drained =
            ran->second.at > draining_at + drain_ms + tolerance_ms;
        ++late_old;
        late_drained += drained ? 1 : 0;
        record(
            "CONFIG: request %s, sent to gateway %zu %d ms after the "
            "acknowledgement, was run by %s%s",
            each.id.c_str(),
            each.gateway + 1,
            static_cast<int>(each.sent_at - moved_at),
            ran->second.replica.c_str(),
            drained ? ", over 3 s after that reported that it drains" : "");
    }
    for (const auto& [number, counts] : ends) {
        for (const auto& [status, count] : counts)
            record(
                "gateway %zu, sent later than the bound: status %d, %d times",
                number + 1,
                status,
                count);
    }
    record(
        "%d requests run by the old service too late (CONFIG), %d of them "
        "later than drainMs (DRAIN)",
        late_old,
        late_drained);
    bool all_run = true;
    for (const auto& each : fleet)
        all_run = each->running() && all_run;
    fleet.clear();
    record(late_old > 0 ? "the rule is broken" : "the rule held");
    finish(!all_run ? 2 : late_old > 0 ? 1 : 0);
}
