// Replicas refuse a part of their requests and send a second copy of some of
// these refusals, late: at the point where the next answer is expected.
//
// The copy bears the id of the refused request. When the gateway has meanwhile
// sent the same request again on the same connection, the id doesn't tell the
// copy from the answer that is due.

#include "standin/deployment.hpp"

namespace {

using namespace review;

constexpr int gateways = 3;
constexpr int replicas = 3;
constexpr int slots = 4;
constexpr int clients = 12;
constexpr milliseconds client_pause{1400};
/// Requests before the first trouble: a retry budget needs a window of 10 s.
constexpr std::chrono::seconds lead_time{12};
constexpr std::chrono::seconds trouble_time{5};
constexpr std::chrono::seconds quiet_time{9};
constexpr int troubles = 5;
/// `srv_grey`, how = shed all: share of the requests that a replica refuses.
constexpr double shed_share = 0.6;
/// `garble`, how = extra late: share of the answers that are sent twice.
constexpr double copied_share = 0.03;

/// What all replicas and clients have seen.
struct ledger
{
    explicit ledger(const std::string& path) : record{path} {}

    recorder record;
    std::mutex mutex;
    std::map<std::string, int> runs;
    std::map<std::string, int> statuses;
    std::atomic<bool> trouble = false;
    std::atomic<int> answers = 0; ///< Of the replicas, during trouble.
    std::atomic<int> copies = 0;
};

class replica
{
public:
    replica(ledger& seen, std::string id, const address& at)
        : seen_{&seen},
          id_{std::move(id)},
          random_{std::random_device{}()},
          server_{at, [this](stream& connection) { serve(connection); }}
    {}

private:
    void serve(stream& connection)
    {
        std::string refused_id;
        std::string refusal;
        while (const auto request =
                   connection.read(steady::now() + std::chrono::hours{1})) {
            const auto request_id = request->field("Peridotward-Request-Id");
            if (request->field("Peridotward-Expect-Instance") != id_) {
                auto answer = make_answer("421 Misdirected Request");
                answer.fields.emplace_back("Peridotward-Not-Executed", "1");
                connection.write(answer.text());
                continue;
            }
            if (request_id == refused_id && seen_->trouble &&
                seen_->copies + 1 <= copied_share * seen_->answers) {
                ++seen_->copies;
                seen_->record.write(
                    id_ + " sends its refusal of " + request_id + " again");
                connection.write(refusal);
            }
            refused_id.clear();
            if (seen_->trouble)
                ++seen_->answers;
            if (seen_->trouble && draw() < shed_share) {
                refused_id = request_id;
                refusal = make_refusal(request_id);
                seen_->record.write(id_ + " refuses " + request_id);
                connection.write(refusal);
                continue;
            }
            run(request_id);
            auto answer = make_answer("200 OK", "entry of " + request_id);
            add_fields(answer, request_id);
            answer.fields.emplace_back(
                "Peridotward-Server-Stamp", request_id + "." + id_);
            connection.write(answer.text());
        }
    }

    void run(const std::string& request_id)
    {
        ++running_;
        int runs = 0;
        {
            const std::lock_guard lock{seen_->mutex};
            runs = ++seen_->runs[request_id];
        }
        seen_->record.write(
            id_ + " runs " + request_id +
            (runs > 1 ? ", which has run before" : ""));
        std::this_thread::sleep_for(milliseconds{60 + int(60 * draw())});
        --running_;
    }

    std::string make_refusal(const std::string& request_id)
    {
        auto answer = make_answer("503 Service Unavailable");
        add_fields(answer, request_id);
        answer.fields.emplace_back("Peridotward-Not-Executed", "1");
        return answer.text();
    }

    void add_fields(message& answer, const std::string& request_id)
    {
        answer.fields.emplace_back("Peridotward-Request-Id", request_id);
        answer.fields.emplace_back(
            "Peridotward-Server-Load",
            std::to_string(running_) + ",0," + std::to_string(slots));
    }

    double draw()
    {
        const std::lock_guard lock{mutex_};
        return std::uniform_real_distribution<>{}(random_);
    }

    ledger* seen_;
    std::string id_;
    std::mutex mutex_;
    std::mt19937 random_;
    std::atomic<int> running_ = 0;
    server server_;
};

void send_requests(
    ledger& seen,
    const address& gateway,
    int client,
    const std::atomic<bool>& stopped)
{
    std::unique_ptr<stream> connection;
    for (int i = 0; !stopped; ++i) {
        std::this_thread::sleep_for(client_pause);
        if (!connection)
            connection = connect_to(gateway);
        if (!connection)
            continue;
        const auto id = "c" + std::to_string(client) + "-" + std::to_string(i);
        const message request{
            "POST /licence/" + id + " HTTP/1.1",
            {{"Host", "registry.example"},
             {"Peridotward-Request-Id", id},
             {"Peridotward-Deadline-Ms", "2000"}},
            "an entry"};
        connection->write(request.text());
        const auto answer =
            connection->read(steady::now() + milliseconds{2000});
        const int status = answer ? answer->status() : 0;
        seen.record.write(
            "client gets " + std::to_string(status) + " for " + id);
        const std::lock_guard lock{seen.mutex};
        seen.statuses[id] = status;
        if (!answer || answer->field("Connection") == "close")
            connection.reset();
    }
}

/// Sends one request until the gateway serves it.
void await_service(const address& gateway)
{
    const auto until = steady::now() + std::chrono::seconds{10};
    for (int i = 0; steady::now() < until; ++i) {
        const auto connection = connect_to(gateway);
        const message request{
            "POST /licence/first HTTP/1.1",
            {{"Host", "registry.example"},
             {"Peridotward-Request-Id",
              "first-" + std::to_string(gateway.port) + gateway.host + "-" +
                  std::to_string(i)},
             {"Peridotward-Deadline-Ms", "2000"}},
            "an entry"};
        connection->write(request.text());
        const auto answer =
            connection->read(steady::now() + milliseconds{2000});
        if (answer && answer->status() == 200)
            return;
        std::this_thread::sleep_for(milliseconds{100});
    }
    throw std::runtime_error{"a gateway doesn't serve"};
}

int play(const std::string& record_path)
{
    deployment system;
    ledger seen{record_path};
    const char* const zones[] = {"akl", "wlg", "chc"};
    std::vector<std::unique_ptr<replica>> desk;
    for (int i = 0; i < replicas; ++i) {
        const auto at = system.plan.at(100 + i);
        const auto id = "i-desk" + std::to_string(i);
        desk.push_back(std::make_unique<replica>(seen, id, at));
        system.kv->put(
            "servers/" + id,
            replica_entry("district-desk", at, zones[i], slots));
    }
    const json route{
        {"name", "licence"},
        {"host", "registry.example"},
        {"prefix", "/licence/"},
        {"service", "district-desk"},
        {"kind", "unsafe"},
        {"timeoutMs", 2000},
        {"targetLatencyMs", 400},
        {"priority", 2},
        {"maxAttempts", 3}};
    system.kv->put(
        "op/config",
        config_entry(
            7,
            json::array({route}),
            json::array({service_entry("district-desk", 51)})));
    system.start_gateways(gateways);
    for (const auto& gateway : system.gateways)
        await_service(gateway->front());

    std::atomic<bool> stopped = false;
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client)
        threads.emplace_back([&, client] {
            send_requests(
                seen,
                system.gateways[client % gateways]->front(),
                client,
                stopped);
        });
    std::this_thread::sleep_for(lead_time);
    for (int i = 0; i < troubles; ++i) {
        seen.trouble = with_trouble();
        seen.record.write(seen.trouble ? "trouble begins" : "no trouble");
        std::this_thread::sleep_for(trouble_time);
        seen.trouble = false;
        seen.record.write("trouble ends");
        std::this_thread::sleep_for(quiet_time);
    }
    stopped = true;
    for (auto& thread : threads)
        thread.join();

    int twice = 0;
    int refused = 0;
    int served = 0;
    for (const auto& [id, runs] : seen.runs)
        twice += runs > 1 ? 1 : 0;
    for (const auto& [id, status] : seen.statuses) {
        served += status == 200 ? 1 : 0;
        const bool promised =
            status == 503 || status == 429 || status == 408 || status == 421;
        if (promised && seen.runs.contains(id)) {
            ++refused;
            seen.record.write(
                "REFUSED: " + id + " was answered " + std::to_string(status) +
                " and has run");
        }
    }
    const auto summary =
        std::to_string(seen.statuses.size()) + " requests, " +
        std::to_string(served) + " served, " + std::to_string(seen.answers) +
        " answers of replicas in trouble, " + std::to_string(seen.copies) +
        " of them sent twice; TWICE " + std::to_string(twice) + ", REFUSED " +
        std::to_string(refused);
    seen.record.write(summary);
    std::cout << summary << "\n";
    if (served == 0)
        return not_run;
    return twice + refused > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string record = argc > 1 ? argv[1] : "record.txt";
    return review::run_case([&] { return play(record); });
}
