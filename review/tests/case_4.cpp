// A gateway gets SIGTERM. A client whose connection to it was idle sends a
// request 3.15 s later, before the gateway closes that connection, and the
// replica works on it until 5.8 s after the signal: within the grace time of
// 6 s, the client's deadline and the route's timeout.

#include "standin/deployment.hpp"

namespace {

using namespace review;

constexpr int gateways = 3;
constexpr int slots = 2;
constexpr std::chrono::seconds lead_time{5};
/// After the signal; the connections of other clients are used at other times.
constexpr milliseconds sent_after{3150};
constexpr milliseconds work{2650};
constexpr milliseconds deadline{4000};
/// The platform sends SIGKILL then.
constexpr std::chrono::seconds grace{6};
constexpr int clients = 6;

struct ledger
{
    explicit ledger(const std::string& path) : record{path} {}

    recorder record;
    std::atomic<int> runs = 0;
};

class replica
{
public:
    replica(ledger& seen, std::string id, const address& at)
        : seen_{&seen},
          id_{std::move(id)},
          server_{at, [this](stream& connection) { serve(connection); }}
    {}

private:
    void serve(stream& connection)
    {
        while (const auto request =
                   connection.read(steady::now() + std::chrono::hours{1})) {
            const auto request_id = request->field("Peridotward-Request-Id");
            if (request->field("Peridotward-Expect-Instance") != id_) {
                auto refusal = make_answer("421 Misdirected Request");
                refusal.fields.emplace_back("Peridotward-Not-Executed", "1");
                connection.write(refusal.text());
                continue;
            }
            ++running_;
            ++seen_->runs;
            seen_->record.write(id_ + " runs " + request_id);
            const bool is_long =
                request->target().find("/long") != std::string::npos;
            std::this_thread::sleep_for(is_long ? work : milliseconds{40});
            auto answer = make_answer("200 OK", "record of " + request_id);
            answer.fields.emplace_back("Peridotward-Request-Id", request_id);
            answer.fields.emplace_back(
                "Peridotward-Server-Stamp", request_id + "." + id_);
            answer.fields.emplace_back(
                "Peridotward-Server-Load",
                std::to_string(running_) + ",0," + std::to_string(slots));
            --running_;
            const bool sent = connection.write(answer.text());
            seen_->record.write(
                id_ + (sent ? " answers " : " can't answer ") + request_id);
        }
    }

    ledger* seen_;
    std::string id_;
    std::atomic<int> running_ = 0;
    server server_;
};

message make_request(const std::string& path, const std::string& id)
{
    return {
        "POST /panel/" + path + " HTTP/1.1",
        {{"Host", "records.example"},
         {"Peridotward-Request-Id", id},
         {"Peridotward-Deadline-Ms", std::to_string(deadline.count())}},
        "an entry"};
}

int play(const std::string& record_path)
{
    deployment system;
    ledger seen{record_path};
    const char* const zones[] = {"akl", "wlg", "chc"};
    std::vector<std::unique_ptr<replica>> desk;
    for (int i = 0; i < 6; ++i) {
        const auto at = system.plan.at(100 + i % 3, i / 3);
        const auto id = "i-panel" + std::to_string(i);
        desk.push_back(std::make_unique<replica>(seen, id, at));
        system.kv->put(
            "servers/" + id,
            replica_entry("panel-desk", at, zones[i % 3], slots));
    }
    const json route{
        {"name", "panel-lookup"},
        {"host", "records.example"},
        {"prefix", "/panel/"},
        {"service", "panel-desk"},
        {"kind", "unsafe"},
        {"timeoutMs", deadline.count()},
        {"targetLatencyMs", 600},
        {"priority", 2},
        {"maxAttempts", 2}};
    system.kv->put(
        "op/config",
        config_entry(
            7,
            json::array({route}),
            json::array({service_entry("panel-desk", 110)})));
    system.start_gateways(gateways);
    std::this_thread::sleep_for(std::chrono::seconds{1});

    // Each client keeps its connection; the long requests come later.
    auto& stopped = *system.gateways.front();
    std::vector<std::unique_ptr<stream>> connections;
    for (int client = 0; client < clients; ++client) {
        connections.push_back(connect_to(stopped.front()));
        const auto id = "c" + std::to_string(client) + "-short";
        connections.back()->write(make_request("short", id).text());
        const auto answer = connections.back()->read(steady::now() + deadline);
        if (!answer || answer->status() != 200)
            throw std::runtime_error{"a short request isn't served"};
    }
    std::this_thread::sleep_for(lead_time);
    const auto signalled = steady::now();
    seen.record.write(with_trouble() ? "SIGTERM" : "no SIGTERM");
    if (with_trouble())
        stopped.signal(SIGTERM);
    std::thread platform{[&] {
        bool gone = false;
        while (steady::now() < signalled + grace) {
            if (!gone && stopped.ended()) {
                gone = true;
                seen.record.write("the gateway has ended");
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
        if (with_trouble() && !gone)
            stopped.signal(SIGKILL);
    }};

    std::this_thread::sleep_until(signalled + sent_after);
    const int runs_before = seen.runs;
    int sent = 0;
    int lost = 0;
    int answered = 0;
    std::vector<std::thread> threads;
    std::mutex mutex;
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            const auto id = "c" + std::to_string(client) + "-long";
            auto& connection = *connections[client];
            const auto at = steady::now();
            if (connection.readable_within(milliseconds{0})) {
                seen.record.write("the connection for " + id + " is closed");
                return;
            }
            seen.record.write("client sends " + id);
            connection.write(make_request("long", id).text());
            const auto answer = connection.read(at + deadline);
            const auto took =
                std::chrono::duration_cast<milliseconds>(steady::now() - at);
            seen.record.write(
                "client gets " +
                (answer ? std::to_string(answer->status())
                        : std::string{"no answer"}) +
                " for " + id + " after " + std::to_string(took.count()) +
                " ms");
            const std::lock_guard lock{mutex};
            ++sent;
            answered += answer ? 1 : 0;
            // The end of the connection came before the deadline.
            lost += !answer && took < deadline ? 1 : 0;
        });
    for (auto& thread : threads)
        thread.join();
    platform.join();
    const int passed_on = seen.runs - runs_before;
    const auto summary =
        std::to_string(sent) + " long requests sent, " +
        std::to_string(passed_on) + " passed on to a replica, " +
        std::to_string(answered) + " answered, LOST " + std::to_string(lost);
    seen.record.write(summary);
    std::cout << summary << "\n";
    return lost > 0 && passed_on > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string record = argc > 1 ? argv[1] : "record.txt";
    return review::run_case([&] { return play(record); });
}
