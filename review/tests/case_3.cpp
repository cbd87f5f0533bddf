// Another writer's entry stands in the store: three of the fields of an entry
// are missing, so it names no replica to use. At its address listens a server
// of another system, which has the id of the entry.

#include "standin/deployment.hpp"

namespace {

using namespace review;

constexpr int gateways = 3;
constexpr int replicas = 3;
constexpr int slots = 6;
constexpr int clients = 6;
constexpr milliseconds deadline{2000};
constexpr std::chrono::seconds lead_time{5};
constexpr std::chrono::seconds measured_time{15};
/// The id of the server that is no replica.
constexpr const char* stranger = "i-staging7";

struct ledger
{
    explicit ledger(const std::string& path) : record{path} {}

    recorder record;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> strange_runs = 0;
    std::atomic<int> strange_answers = 0;
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
            if (request->target() == "/healthz") {
                auto healthy = make_answer("200 OK");
                healthy.fields.emplace_back("Peridotward-Instance-Id", id_);
                connection.write(healthy.text());
                continue;
            }
            if (request->field("Peridotward-Expect-Instance") != id_) {
                seen_->record.write(id_ + " gets a request for another one");
                auto refusal = make_answer("421 Misdirected Request");
                refusal.fields.emplace_back("Peridotward-Not-Executed", "1");
                connection.write(refusal.text());
                continue;
            }
            seen_->record.write(id_ + " runs " + request_id);
            seen_->strange_runs += id_ == stranger ? 1 : 0;
            std::this_thread::sleep_for(milliseconds{60});
            auto answer = make_answer("200 OK", "record of " + request_id);
            answer.fields.emplace_back("Peridotward-Request-Id", request_id);
            answer.fields.emplace_back(
                "Peridotward-Server-Stamp", request_id + "." + id_);
            connection.write(answer.text());
        }
    }

    ledger* seen_;
    std::string id_;
    server server_;
};

void send_one(ledger& seen, const address& gateway, const std::string& id)
{
    const auto connection = connect_to(gateway);
    if (!connection)
        return;
    const message request{
        "POST /licence/" + id + " HTTP/1.1",
        {{"Host", "registry.example"},
         {"Peridotward-Request-Id", id},
         {"Peridotward-Deadline-Ms", std::to_string(deadline.count())}},
        "an entry"};
    connection->write(request.text());
    const auto answer = connection->read(steady::now() + deadline);
    const int status = answer ? answer->status() : 0;
    const auto stamp =
        answer ? answer->field("Peridotward-Server-Stamp") : std::string{};
    seen.record.write(
        "client gets " + std::to_string(status) + " for " + id + ", stamp " +
        stamp);
    ++seen.sent;
    seen.served += status == 200 ? 1 : 0;
    if (stamp.ends_with(stranger))
        ++seen.strange_answers;
}

int play(const std::string& record_path)
{
    deployment system;
    ledger seen{record_path};
    const char* const zones[] = {"akl", "wlg", "chc"};
    std::vector<std::unique_ptr<replica>> running;
    for (int i = 0; i < replicas; ++i) {
        const auto at = system.plan.at(100 + i);
        const auto id = "i-desk" + std::to_string(i);
        running.push_back(std::make_unique<replica>(seen, id, at));
        system.kv->put(
            "servers/" + id,
            replica_entry("district-desk", at, zones[i], slots));
    }
    const auto foreign = system.plan.at(100, 5);
    running.push_back(std::make_unique<replica>(seen, stranger, foreign));
    const json route{
        {"name", "licence"},
        {"host", "registry.example"},
        {"prefix", "/licence/"},
        {"service", "district-desk"},
        {"kind", "unsafe"},
        {"timeoutMs", deadline.count()},
        {"targetLatencyMs", 400},
        {"priority", 2},
        {"maxAttempts", 2}};
    system.kv->put(
        "op/config",
        config_entry(
            7,
            json::array({route}),
            json::array({service_entry("district-desk", 51)})));
    system.start_gateways(gateways);
    std::this_thread::sleep_for(std::chrono::seconds{1});

    if (with_trouble()) {
        seen.record.write("another writer's entry");
        // `version`, `warmupLeftMs` and `sequence` are missing.
        system.kv->put(
            std::string{"servers/"} + stranger,
            {{"service", "district-desk"},
             {"address", foreign.text()},
             {"zone", zones[0]},
             {"slots", slots},
             {"state", "ready"}});
    }
    std::this_thread::sleep_for(lead_time);

    seen.record.write("clients begin");
    const auto until = steady::now() + measured_time;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            for (int i = 0; steady::now() < until; ++i) {
                send_one(
                    seen,
                    system.gateways[client % gateways]->front(),
                    "c" + std::to_string(client) + "-" + std::to_string(i));
                std::this_thread::sleep_for(milliseconds{200});
            }
        });
    for (auto& thread : threads)
        thread.join();
    const auto summary =
        std::to_string(seen.sent) + " requests, " +
        std::to_string(seen.served) +
        " served; ROUTE: " + std::to_string(seen.strange_runs) +
        " run by a server that is no " + "replica, whose answer " +
        std::to_string(seen.strange_answers) + " clients got";
    seen.record.write(summary);
    std::cout << summary << "\n";
    if (seen.served == 0)
        return not_run;
    return seen.strange_runs > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string record = argc > 1 ? argv[1] : "record.txt";
    return review::run_case([&] { return play(record); });
}
